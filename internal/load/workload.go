package load

import (
	"galenatrestle/internal/config"
	"galenatrestle/internal/yamldoc"
)

// Workload is one bench: who sends what, when, and what the classes promise.
type Workload struct {
	Name string `yaml:"name" validate:"required"`
	// Seed fixes all arrivals, prompts and lengths.
	Seed uint64 `yaml:"seed"`
	// EngineSeed is the engines' seed of answer lengths.
	EngineSeed uint64 `yaml:"engine_seed,omitempty"`
	// Duration is how long requests arrive.
	Duration config.Duration `yaml:"duration" validate:"gt=0"`
	// Drain is how long the run waits for answers after that. Default 30s.
	Drain config.Duration `yaml:"drain,omitempty" validate:"gte=0"`
	// MaxRequests bounds the run. Default 100000, at most a million.
	MaxRequests int `yaml:"max_requests,omitempty" validate:"gte=0,lte=1000000"`
	// Classes repeat the targets that the system was configured with.
	Classes []Class  `yaml:"classes" validate:"required,min=1,unique=Name,dive"`
	Streams []Stream `yaml:"streams" validate:"required,min=1,unique=Name,dive"`
	// Faults are switched on at stand-ins while it runs.
	Faults []Fault `yaml:"faults,omitempty" validate:"dive"`
}

// Defaults of a Workload.
const (
	defaultMaxRequests = 100000
	defaultDrain       = 30e9 // 30s
)

// ParseWorkload reads a workload. Its error names line, field and value.
func ParseWorkload(data []byte) (*Workload, error) {
	var w Workload
	source, err := yamldoc.Read(data, &w)
	if err != nil {
		return nil, err
	}
	source.CheckTags(&w)
	w.checkStreams(source)
	if err := source.Err(); err != nil {
		return nil, err
	}
	if w.MaxRequests == 0 {
		w.MaxRequests = defaultMaxRequests
	}
	if w.Drain == 0 {
		w.Drain = defaultDrain
	}
	return &w, nil
}

// Scale multiplies the rates of all streams by factor.
func (w *Workload) Scale(factor float64) {
	for _, s := range w.Streams {
		for i := range s.Rate {
			s.Rate[i].PerSecond *= factor
		}
	}
}

// class returns the named class.
func (w *Workload) class(name string) (Class, bool) {
	for _, c := range w.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}
