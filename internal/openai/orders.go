package openai

// OrderState answers GET /orders: the desired state as the engine has it.
type OrderState struct {
	// Epoch is the highest fencing number seen.
	Epoch int64 `json:"epoch"`
	// Models are the models and adapters loaded, with their versions.
	Models []LoadedModel `json:"models"`
	Role   string        `json:"role"`
	// Applied lists the newest orders that took effect, oldest first.
	Applied []Order `json:"applied"`
}

// LoadedModel is one model in the engine's memory.
type LoadedModel struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}
