package router

import (
	"galenatrestle/internal/admission"
	"galenatrestle/internal/config"
	"galenatrestle/internal/scheduler"
)

// classState is a class with its counts in one pool.
type classState struct {
	config.Class
	// retired classes admit nothing new.
	retired bool
	waiting int
	gate    admission.Gate
	running int
}

func withClassDefaults(class config.Class) config.Class {
	if class.QueueBound == 0 {
		class.QueueBound = defaultQueueBound
	}
	if class.MinShareAfter == 0 {
		class.MinShareAfter = class.GiveUpAfter / 2
	}
	return class
}

func schedulerClass(class config.Class, without Features) scheduler.Class {
	after := class.MinShareAfter.Std()
	if without.MinShare {
		after = 0
	}
	return scheduler.Class{
		Name: class.Name, Tier: class.Tier, MinShare: class.MinShare, MinShareAfter: after,
	}
}
