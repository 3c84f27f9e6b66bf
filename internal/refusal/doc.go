// Package refusal defines the outcomes and reasons reported to a caller whose
// request failed, and the error type that carries them to the HTTP response.
package refusal
