package upstream

import "time"

// EngineCall is one attempt at an engine.
type EngineCall struct {
	// ID names the attempt; it goes out as openai.HeaderRequestID.
	ID string
	// Path is the engine's path, such as "/v1/chat/completions".
	Path string
	// Body is the request, already encoded. It must not change before the
	// stream is closed.
	Body []byte
	// Stream says that the body asks for a streamed answer.
	Stream bool
	// Patience is the longest wait for the first payload, the whole body where
	// the answer is not streamed. Default: Options.StallTimeout.
	Patience time.Duration
}
