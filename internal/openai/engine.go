package openai

// Headers and codes between nodes and engines.
const (
	// HeaderRequestID carries the node's id of the attempt to the engine.
	HeaderRequestID = "X-Request-Id"
	// CodeOverloaded and CodeLeaving are error codes by which an engine says
	// that it did not run the request.
	CodeOverloaded = "overloaded"
	CodeLeaving    = "leaving"
)

// LoadReport answers GET /load of an engine. It is as old as AgeMillis says.
type LoadReport struct {
	// Running and Waiting count requests in the batch and before it.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the batch size past which the time between tokens grows.
	Slots     int   `json:"slots"`
	AgeMillis int64 `json:"age_millis"`
	Leaving   bool  `json:"leaving"`
	// Models are the models and adapters loaded, Role the engine's role.
	Models []string `json:"models"`
	Role   string   `json:"role"`
}

// OrderKind names what an order to an engine asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order is POST /orders of an engine: a desired state with a fencing number.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Model and Version name what to load or unload.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// Role is what to become: "both", "prefill" or "decode".
	Role string `json:"role,omitempty"`
	// Epoch is the fencing number; an engine that honours it refuses an order
	// whose epoch is below the highest it has seen, with status 409.
	Epoch int64 `json:"epoch"`
}

// CacheEvent is one element of GET /cache/events?after=SEQ.
type CacheEvent struct {
	// Sequence grows by one an event; a hole is a lost event.
	Sequence int64 `json:"sequence"`
	// PrefixHash identifies the cached prefix, Stored says whether it came or
	// went.
	PrefixHash uint64 `json:"prefix_hash"`
	Stored     bool   `json:"stored"`
}
