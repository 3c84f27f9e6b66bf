package router

import (
	"galenatrestle/internal/admission"
	"galenatrestle/internal/config"
	"galenatrestle/internal/scheduler"
)

type classState struct {
	config.Class
	// retired classes are no longer configured and admit no new requests.
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

func schedulerClass(class config.Class, disabled DisabledFeatures) scheduler.Class {
	minShareAfter := class.MinShareAfter.Std()
	if disabled.MinShare {
		minShareAfter = 0
	}
	return scheduler.Class{
		Name: class.Name, Tier: class.Tier, MinShare: class.MinShare, MinShareAfter: minShareAfter,
	}
}
