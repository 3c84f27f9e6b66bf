package soak

import (
	"context"
	"fmt"
	"time"
)

// pauseBeforeResume is the time before each try to resume a stream if no refusal asks for more.
const pauseBeforeResume = 200 * time.Millisecond

// resume resumes the call's stream, if it broke after its first event, until it is whole or the
// caller's patience ends.
func (c *caller) resume(ctx context.Context, first *sent) {
	deadline := first.at.Add(callerPatience)
	last, after := first, len(first.events)
	for try := 0; ; try++ {
		if first.stream == "" || after == 0 || last.whole() || ctx.Err() != nil {
			return
		}
		left := time.Until(deadline)
		// Callers honour Retry-After up to a third of the time that they have left.
		time.Sleep(max(pauseBeforeResume, min(last.retryAfter, left/3)))
		if left = time.Until(deadline); left <= 0 {
			return
		}
		last = &sent{
			id: fmt.Sprintf("%s-r%d", first.id, try), key: first.key, path: first.path, entry: c.anyEntry(),
			stream: first.stream, after: after, resumes: first.id, parts: first.parts,
		}
		c.sendWithin(left, last, first.path+first.stream, "body of "+first.id)
		after += len(last.events)
	}
}
