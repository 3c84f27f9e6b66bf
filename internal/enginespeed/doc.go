// Package enginespeed learns how fast the replicas of an engine read prompts, from
// the times to the first token that a node sees anyway.
//
// The estimate follows the median, so that neither a replica that stalls nor a
// prompt that turned out to be cached moves it far, and it takes in what else
// slows reading down: the tokens that are generated between, and news of other
// nodes that come late. It begins with a usual engine's speed and is within a
// tenth of the real one after some twenty answers.
//
// It holds soft state, a few numbers for each upstream, for use under its owner's
// lock. It starts no goroutine and knows no clock.
package enginespeed
