package capacity

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/quarantine/quarantinerpc"
)

const (
	// exchangesPerSecond is how often a node exchanges all records with a
	// peer, and by the mean is asked by one.
	exchangesPerSecond = 2 * 0.1
	exchangeWait       = 3 * time.Second
	exchangePoll       = 5 * time.Millisecond
	exchangeQuiet      = 20
)

// Quarantine measures the records of suspects and quarantined requests.
func Quarantine(ctx context.Context, _ Fleet, records []int) ([]Slope, error) {
	base := Slope{Role: RoleQuarantine, Against: "records", Target: quarantine.DefaultMaxRecords}
	memory, alike, differing := base, base, base
	memory.Quantity, memory.Unit = "heap", "B"
	alike.Quantity, alike.Unit = "bytes of exchanges between nodes that have the same", "B/s"
	differing.Quantity, differing.Unit = "bytes of exchanges between nodes that differ", "B/s"
	for _, n := range records {
		memory.add(n, heapOf(func() *quarantine.Tracker { return tracker(start, n) }))
		bytes, err := exchangeBytes(ctx, n, n)
		if err != nil {
			return nil, err
		}
		alike.add(n, bytes*exchangesPerSecond)
		if bytes, err = exchangeBytes(ctx, n, n-1); err != nil {
			return nil, err
		}
		differing.add(n, bytes*exchangesPerSecond)
	}
	return fitAll(memory, alike, differing)
}

// tracker returns one with so many suspects of a crash.
func tracker(crash time.Time, records int) *quarantine.Tracker {
	t := quarantine.NewTracker("", 0)
	running := make([]quarantine.Fingerprint, records)
	for i := range running {
		running[i] = quarantine.FingerprintOf(workspaceName(i), modelName(0), nil)
	}
	t.Crash(crash, "replica", running)
	return t
}

// exchangeBytes returns the bytes of one exchange of two nodes, of which the
// other has so many of the records.
func exchangeBytes(ctx context.Context, records, others int) (float64, error) {
	crash := time.Now()
	mine, theirs := tracker(crash, records), tracker(crash, others)
	link, err := newPeerLink(quarantinerpc.NewHandler(theirs, crashcause.NewTracker(0, nil, nil)))
	if err != nil {
		return 0, err
	}
	defer link.close()
	peers := func() []string { return []string{link.address()} }
	spreader := quarantinerpc.NewSpreader(mine, crashcause.NewTracker(0, nil, nil), peers, link.clients, prometheus.NewRegistry())
	ctx, stop := context.WithTimeout(ctx, exchangeWait)
	defer stop()
	go spreader.Run(ctx)
	return float64(link.quiet()), nil
}

// quiet waits until bytes have come and then no more do.
func (l *peerLink) quiet() int64 {
	until := time.Now().Add(exchangeWait)
	last, unchanged := int64(0), 0
	for time.Now().Before(until) && unchanged < exchangeQuiet {
		time.Sleep(exchangePoll)
		bytes := l.listener.Bytes.Load()
		unchanged++
		if bytes != last || bytes == 0 {
			last, unchanged = bytes, 0
		}
	}
	return last
}
