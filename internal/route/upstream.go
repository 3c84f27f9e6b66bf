package route

// Upstream is what the operator says of the replicas of one upstream.
type Upstream struct {
	Name string
	// HealthPath answers 200 while a replica is well.
	HealthPath string
	// MaxConnections is what one replica accepts of all nodes together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the replicas of a model.
type Engine struct {
	// Slots is the number of requests that one replica runs at once.
	Slots int
	// MemoryTokens bounds the tokens of running requests and cached prompts.
	MemoryTokens int
	// CopiesPrompts says that a replica can copy what another one has cached of a
	// prompt.
	CopiesPrompts bool
}
