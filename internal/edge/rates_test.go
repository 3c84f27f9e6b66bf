package edge

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

// newTestLimiter returns a limiter that knows a rate of the replica.
func newTestLimiter(r replica.Replica) *rateLimiter {
	n := &Node{options: Options{Clock: func() boottime.Instant { return 1 }}, registry: prometheus.NewRegistry()}
	l := newRateLimiter(n)
	l.limits.Observe(ratelimit.Observation{Replica: r, Limited: true, PerSecond: 2, ReceivedAt: 1})
	return l
}

func instantAfter(d time.Duration) boottime.Instant { return boottime.Instant(0).Add(d) }

// Guards against sending more than a replica's rate because its registration expired, in an outage
// of the store or on a cut from it, and returned.
func TestRateOutlivesAnExpiredRegistration(t *testing.T) {
	r := replica.Replica{ID: "a", StartedAt: 5}
	l := newTestLimiter(r)
	l.onReplicaChanges([]replica.Change{replica.Change{Replica: r, Kind: replica.Removed}}, instantAfter(time.Second))
	l.forgetRemoved(instantAfter(2 * time.Second))
	l.onReplicaChanges([]replica.Change{replica.Change{Replica: r, Kind: replica.Added}}, instantAfter(3*time.Second))
	l.forgetRemoved(instantAfter(time.Hour))
	if _, limited := l.limits.Current().Of(&r); !limited {
		t.Error("the rate is not known any more after the registration returned")
	}
}

func TestRateOfAReplicaThatIsGoneIsForgotten(t *testing.T) {
	r := replica.Replica{ID: "a", StartedAt: 5}
	restarted := replica.Replica{ID: "a", StartedAt: 6}
	for name, change := range map[string]func(*rateLimiter){
		"gone": func(*rateLimiter) {},
		"restarted": func(l *rateLimiter) {
			l.onReplicaChanges([]replica.Change{replica.Change{Replica: restarted, Kind: replica.Added}}, instantAfter(time.Second))
		},
	} {
		l := newTestLimiter(r)
		l.onReplicaChanges([]replica.Change{replica.Change{Replica: r, Kind: replica.Removed}}, instantAfter(time.Second))
		change(l)
		l.forgetRemoved(instantAfter(time.Second + limitRetention))
		if got := len(l.limits.InForce()); got != 0 {
			t.Errorf("%s: %d rates known, want none", name, got)
		}
	}
}
