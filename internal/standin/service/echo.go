package service

import "encoding/json"

// Echo is the answer to every call.
type Echo struct {
	Service        string `json:"service"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key"`
	// Run counts the replica's runs from 1.
	Run int64 `json:"run"`
	// Body is the request's body as it came, or null where it was no JSON.
	Body json.RawMessage `json:"body"`
}
