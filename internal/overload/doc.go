// Package overload implements admission control for inference engines: it refuses
// requests that would wait too long and suggests when to retry them.
//
// It handles prompts that arrive faster than replicas prefill them, as in a burst of
// long prompts or with cold caches after a start. Without it queues grow until every
// request misses its objective. For a short time after a refusal, requests of less urgent
// ranks are refused too.
//
// The caller passes the current time. State is in memory, per upstream, and does not
// depend on the platform.
package overload
