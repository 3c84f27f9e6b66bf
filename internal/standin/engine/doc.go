// Package engine imitates a model engine that batches continuously: OpenAI
// shapes in and out, a prefix cache of bounded size, priorities, resume and
// cancel of a stream, a lagging load report, cache events late and with gaps,
// orders with a fencing number, and the faults of package fault.
//
// An answer is a fixed function of the prompt (ExpectedAnswer), so that anyone
// can tell a whole answer from a wrong one.
//
// It holds soft state, in memory only: the queue and the batch are bounded by
// Options, the run list by runs.DefaultBound. It never talks to the platform.
package engine
