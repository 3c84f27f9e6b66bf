package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"galenatrestle/internal/ctxtime"
)

// jitters spreads pauses; it is safe for concurrent use.
type jitters struct {
	mu     sync.Mutex
	random *rand.Rand
}

// around returns a duration between half and one and a half of mean.
func (j *jitters) around(mean time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return mean/2 + time.Duration(j.random.Int64N(int64(mean)+1))
}

// pause waits between half and one and a half retry intervals. It returns false
// when ctx ended first.
func pause(ctx context.Context, options Options) bool {
	return ctxtime.Sleep(ctx, options.jitters.around(options.RetryInterval)) == nil
}
