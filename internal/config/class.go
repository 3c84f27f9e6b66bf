package config

// Class is a service level.
type Class struct {
	Name string `yaml:"name" json:"name" validate:"required,max=100,name"`
	// Tier is the priority; 0 is the highest.
	Tier int `yaml:"tier" json:"tier" validate:"gte=0,lte=15"`
	// TargetFirstToken is the time to the first token. Zero: no target.
	TargetFirstToken Duration `yaml:"target_first_token,omitempty" json:"target_first_token,omitzero" validate:"gte=0"`
	// TargetAnswer is the time to the whole answer.
	TargetAnswer Duration `yaml:"target_answer" json:"target_answer" validate:"gt=0"`
	// GiveUpAfter is the time after which an answer is of no use.
	GiveUpAfter Duration `yaml:"give_up_after" json:"give_up_after" validate:"gtefield=TargetAnswer"`
	// MinShare is the part of the slots the class gets however busy the
	// higher tiers are, from 0 to 1.
	MinShare float64 `yaml:"min_share,omitempty" json:"min_share,omitempty" validate:"gte=0,lte=1"`
	// MinShareAfter is how long the class's oldest request waits before the
	// share is due. Default: half of GiveUpAfter.
	MinShareAfter Duration `yaml:"min_share_after,omitempty" json:"min_share_after,omitzero" validate:"gte=0"`
	// QueueBound is the most requests that wait at one node. Default 1000.
	QueueBound int `yaml:"queue_bound,omitempty" json:"queue_bound,omitempty" validate:"gte=0"`
	// Retention is how long an answer can be fetched again. Default 1m.
	Retention Duration `yaml:"retention,omitempty" json:"retention,omitzero" validate:"gte=0"`
	// Hedge allows a second attempt in parallel within the retry budget.
	Hedge bool `yaml:"hedge,omitempty" json:"hedge,omitempty"`
}
