package config

// Limits bound what one request or one node may take.
type Limits struct {
	// MaxBodyBytes is the largest request body. Default 4 MiB.
	MaxBodyBytes int64 `yaml:"max_body_bytes,omitempty" json:"max_body_bytes,omitempty" validate:"gte=0"`
	// MaxTokens is the longest answer. Default 32768 tokens.
	MaxTokens int `yaml:"max_tokens,omitempty" json:"max_tokens,omitempty" validate:"gte=0"`
	// RetryBudget is the part of successes that may be spent on retries.
	// Default 0.1.
	RetryBudget float64 `yaml:"retry_budget,omitempty" json:"retry_budget,omitempty" validate:"gte=0,lte=1"`
	// MaxAttempts bounds the attempts of one request. Default 3.
	MaxAttempts int `yaml:"max_attempts,omitempty" json:"max_attempts,omitempty" validate:"gte=0,lte=10"`
}
