package claim

import "errors"

var (
	// errNotHolder says that this node does not hold the shard.
	errNotHolder = errors.New("claim: not the shard's holder")
	// errSuperseded says that another holder has taken the shard over.
	errSuperseded = errors.New("claim: superseded by another holder")
	// errStuck says that the platform does not answer while another attempt's
	// change waits for it.
	errStuck = errors.New("claim: another attempt's change waits for the platform")
	// errUncertain says that a change may or may not have become durable.
	errUncertain = errors.New("claim: not known whether the change is durable")
)
