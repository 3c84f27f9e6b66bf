package claim

import "errors"

var (
	// errNotHolder means that this node does not hold the shard.
	errNotHolder = errors.New("claim: not the shard's holder")
	// errSuperseded means that another holder has taken over the shard.
	errSuperseded = errors.New("claim: superseded by another holder")
	// errWriteStalled means that the platform does not respond while a change by another
	// attempt waits to be written.
	errWriteStalled = errors.New("claim: the platform does not respond; a change by another attempt is pending")
	// errUncertain means that a change may or may not have become durable.
	errUncertain = errors.New("claim: unknown whether the change is durable")
)
