package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"galenatrestle/internal/ctxtime"
)

// jitterSource randomizes pauses. It is safe for concurrent use.
type jitterSource struct {
	mu     sync.Mutex
	random *rand.Rand
}

// around returns a random duration between 0.5 and 1.5 times mean.
func (j *jitterSource) around(mean time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return mean/2 + time.Duration(j.random.Int64N(int64(mean)+1))
}

// pause waits between 0.5 and 1.5 retry intervals. It returns false if ctx ends first.
func pause(ctx context.Context, options Options) bool {
	return ctxtime.Sleep(ctx, options.jitter.around(options.RetryInterval)) == nil
}
