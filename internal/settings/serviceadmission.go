package settings

import "cmp"

// ServiceAdmission gives calls of plain services an expected queue time, by which they are admitted and
// placed.
type ServiceAdmission struct {
	// ShortQueue is the number of calls that may wait at a replica beyond its slots while other replicas
	// have capacity. Default 2.
	ShortQueue int `yaml:"short_queue,omitempty" validate:"min=0,max=1000"`
}

// defaultShortQueue keeps a replica busy while load reports are on their way. Of calls that take 30 ms, a
// queue of two at six slots waits for 15 ms.
const defaultShortQueue = 2

func (s *ServiceAdmission) fillDefaults() {
	if s != nil {
		s.ShortQueue = cmp.Or(s.ShortQueue, defaultShortQueue)
	}
}
