package load

import (
	"time"

	"galenatrestle/internal/config"
)

// Class is what a class promises, as the report judges it.
type Class struct {
	Name string `yaml:"name" validate:"required"`
	Tier int    `yaml:"tier" validate:"gte=0"`
	// TargetFirstToken is the time to the first token; zero: no target.
	TargetFirstToken config.Duration `yaml:"target_first_token,omitempty" validate:"gte=0"`
	// TargetAnswer is the time to the whole answer.
	TargetAnswer config.Duration `yaml:"target_answer" validate:"gt=0"`
}

// onTarget says whether an answer with these times kept the promise.
func (c Class) onTarget(firstToken, answer time.Duration) bool {
	if c.TargetFirstToken > 0 && firstToken > c.TargetFirstToken.Std() {
		return false
	}
	return answer <= c.TargetAnswer.Std()
}
