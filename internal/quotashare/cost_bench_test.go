package quotashare

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenatrestle/internal/config"
	"galenatrestle/internal/quota"
)

// region is nodes of the letter's size, each message encoded and counted.
type region struct {
	now     time.Time
	rng     *rand.Rand
	names   []string
	holders []*Holder
	owners  []*Owner
	// spread is the number of nodes at which an active workspace is asked for.
	active, spread, contended int
	workspaces                []string
	bytes, calls              []float64
}

func newRegion(nodes, active, contended, spread int) *region {
	r := &region{
		now: time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC), rng: rand.New(rand.NewPCG(5, 5)),
		active: active, contended: contended, spread: spread,
		bytes: make([]float64, nodes), calls: make([]float64, nodes),
	}
	for i := range nodes {
		r.names = append(r.names, fmt.Sprintf("bp-angyal-vm-%02d", i))
		r.holders = append(r.holders, NewHolder(r.names[i], Settings{}))
		r.owners = append(r.owners, NewOwner(Settings{}))
	}
	for i := range active {
		r.workspaces = append(r.workspaces, "workspace-"+strconv.Itoa(i))
	}
	return r
}

func (r *region) ownerOf(workspace int) int {
	return int(KeyOf(r.workspaces[workspace]) % Key(len(r.names)))
}

// needs returns a node's demands: the contended workspaces ask for 1.2 times
// their quota in all, the others for 0.3, with noise.
func (r *region) needs(node int) []Need {
	var needs []Need
	for w := range r.active {
		if (node+len(r.names)-w%len(r.names))%len(r.names) >= r.spread {
			continue
		}
		total := 0.3
		if w < r.contended {
			total = 1.2
		}
		noise := max(1+0.2*r.rng.NormFloat64(), 0.1)
		needs = append(needs, Need{Workspace: r.workspaces[w], Owner: r.names[r.ownerOf(w)], Demand: noise * total / float64(r.spread)})
	}
	return needs
}

func (r *region) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(time.Second) {
		for i, h := range r.holders {
			for owner, reports := range h.Plan(r.now, len(r.names), r.needs(i), nil) {
				r.deliver(i, owner, reports)
			}
		}
	}
}

func (r *region) deliver(from int, owner string, reports []Report) {
	to := 0
	for r.names[to] != owner {
		to++
	}
	request := requestOf(r.names[from], reports)
	response := responseOf(r.owners[to].Handle(r.now, r.names[from], r.names, reportsOf(request)))
	if to != from {
		bytes := float64(proto.Size(request) + proto.Size(response) + callBytes)
		r.bytes[from] += bytes
		r.bytes[to] += bytes
		r.calls[from]++
	}
	r.holders[from].Apply(r.now, owner, reports, grantsOf(response))
}

// sums returns the mean and the largest sum over the nodes of one contended
// workspace's shares.
func (r *region) sums() (mean, most float64) {
	sums := make(map[string]float64)
	for i, h := range r.holders {
		for _, need := range r.needs(i) {
			held := h.held[KeyOf(need.Workspace)]
			sums[need.Workspace] += held.shareAt(r.now, evenPart(len(r.names)))
		}
	}
	for w := range r.contended {
		mean += sums[r.workspaces[w]] / float64(r.contended)
		most = max(most, sums[r.workspaces[w]])
	}
	return mean, most
}

// turns returns the median and the 90th percentile of the seconds since the
// reports of contended workspaces.
func (r *region) turns() (median, p90 float64) {
	var ages []float64
	for _, h := range r.holders {
		for w := range r.contended {
			if held := h.held[KeyOf(r.workspaces[w])]; held != nil {
				ages = append(ages, r.now.Sub(held.asked).Seconds())
			}
		}
	}
	slices.Sort(ages)
	return ages[len(ages)/2], ages[len(ages)*9/10]
}

func stats(values []float64, seconds float64) (mean, most float64) {
	for _, v := range values {
		mean += v / seconds / float64(len(values))
		most = max(most, v/seconds)
	}
	return mean, most
}

// BenchmarkRegion measures messages, accuracy and memory, over ten minutes
// after three.
func BenchmarkRegion(b *testing.B) {
	for _, size := range []struct{ nodes, active, contended, spread int }{
		{8, 200, 20, 8}, {60, 2000, 20, 60}, {60, 2000, 200, 60}, {60, 2000, 20, 6}, {60, 2000, 200, 6}, {60, 2000, 200, 1},
	} {
		b.Run(fmt.Sprintf("nodes=%d/active=%d/contended=%d/at=%d", size.nodes, size.active, size.contended, size.spread), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				r := newRegion(size.nodes, size.active, size.contended, size.spread)
				r.run(3 * time.Minute)
				b.ReportMetric((heap()-before)/float64(size.nodes)/1024, "KiB/node")
				clear(r.bytes)
				clear(r.calls)
				began := time.Now()
				r.run(10 * time.Minute)
				took := time.Since(began)
				mean, most := stats(r.bytes, 600)
				calls, _ := stats(r.calls, 600)
				b.ReportMetric(mean, "B/s")
				b.ReportMetric(most, "B/s-worst")
				b.ReportMetric(calls, "calls/s")
				b.ReportMetric(float64(took.Microseconds())/float64(600*size.nodes), "us/step")
				median, p90 := r.turns()
				b.ReportMetric(median, "s-turn-p50")
				b.ReportMetric(p90, "s-turn-p90")
				mean, most = r.sums()
				b.ReportMetric(mean, "shares-mean")
				b.ReportMetric(most, "shares-most")
			}
		})
	}
}

// BenchmarkLimiter measures what a node keeps and does for all workspaces with
// a quota, asked for or not.
func BenchmarkLimiter(b *testing.B) {
	const count = 11000
	now := time.Now()
	quotas := make(map[string]config.Quota)
	for i := range count {
		quotas[strconv.Itoa(i)] = config.Quota{RequestsPerSecond: 1}
	}
	before := heap()
	l := quota.NewLimiter()
	l.SetQuotas(now, quotas, 1)
	b.ReportMetric((heap()-before)/count, "B/workspace")
	for b.Loop() {
		now = now.Add(time.Second)
		l.Demands(now)
		l.SetShares(now, 0.1, nil)
	}
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
