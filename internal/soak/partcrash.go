package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"galenatrestle/platform/platformtest"
)

// PartCrash is a time in which calls come whose prompts have a part that ends the replicas that begin an
// answer on it. No two of them are alike.
type PartCrash struct {
	// Position is that of the part among those that prompts share, from 1 to SharedParts.
	Position int
	// Every is the time between two such calls. With Bursts, one goes to each node at once in place of it.
	Every  time.Duration
	Bursts bool
	// FewShare has few other calls share the first part of the prompts.
	FewShare bool
	// From and Until bound the time.
	From, Until time.Duration
}

// SharedParts is the number of parts of a prompt that other prompts share.
const SharedParts = 3

const (
	// crashingPart is the ID of the part that ends replicas, seldomPart that of the first part that few
	// other calls share.
	crashingPart = "deadbeef"
	seldomPart   = "fe01"
	// seldomEvery is the time between two sound calls with the seldom part.
	seldomEvery = 500 * time.Millisecond
	// crashesUntilKnown is the number of ends of replicas after which the part must be known, and
	// partSlack the time that the nodes have for it. partAllowance is the number of calls with the part
	// that may reach replicas later.
	crashesUntilKnown = 5
	partSlack         = 3 * time.Second
	partAllowance     = 3
	// From soundAfter after the fifth end on, leastSound of the first tries of sound calls must begin, and
	// leastSoundAmongFaults where other faults keep calls from beginning as well.
	soundAfter            = 2 * partSlack
	leastSound            = 0.95
	leastSoundAmongFaults = 0.5
	// minSoundCalls is the number of calls from which on the share counts.
	minSoundCalls = 20
	// minPartRestart and maxPartRestart bound how long a replica that such a call ended is away.
	minPartRestart = 1500 * time.Millisecond
	maxPartRestart = 4 * time.Second
)

// partKinds is the number of IDs that prompts have at each position.
var partKinds = [SharedParts]int{4, 6, 9}

// drawParts returns the shared parts of a sound prompt.
func drawParts(random *rand.Rand) []string {
	var parts []string
	for i, kinds := range partKinds {
		parts = append(parts, fmt.Sprintf("%x", 0xa000+0x1000*i+random.IntN(kinds)))
	}
	return parts
}

// promptHeader is the value of the header that tells the parts of a prompt, its own part last.
func promptHeader(parts []string, random *rand.Rand) string {
	var entries []string
	for _, part := range parts {
		entries = append(entries, part+":200")
	}
	return strings.Join(append(entries, fmt.Sprintf("%x:40", random.Uint64())), ",")
}

// partCallers sends the calls that are about a part that ends replicas.
type partCallers struct {
	world  *world
	random *rand.Rand

	mu    sync.Mutex
	calls []*sent
}

func newPartCallers(w *world) *partCallers {
	return &partCallers{world: w, random: rand.New(rand.NewPCG(w.options.Seed, 98))}
}

// run sends the calls until the part's time ends, those that are sound until ctx ends.
func (p *partCallers) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	o := p.world.options.PartCrash
	if o.FewShare {
		calls.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				calls.Go(func() { p.send(ctx, fmt.Sprintf("seldom-%d", i), "", false) })
				time.Sleep(seldomEvery)
			}
		})
	}
	began := time.Now()
	time.Sleep(o.From)
	for i := 0; ctx.Err() == nil && time.Since(began) < o.Until; i++ {
		if !o.Bursts {
			calls.Go(func() { p.send(ctx, fmt.Sprintf("part-%d", i), "", true) })
			time.Sleep(o.Every)
			continue
		}
		for j, n := range p.world.nodes {
			calls.Go(func() { p.send(ctx, fmt.Sprintf("part-%d-%d", i, j), n.entry, true) })
		}
		time.Sleep(o.Every * time.Duration(len(p.world.nodes)))
	}
}

// send sends a call to the entry, empty: to any, whose prompt has the crashing part or the seldom one.
func (p *partCallers) send(ctx context.Context, name, entry string, crashing bool) {
	p.mu.Lock()
	c := newCaller(p.world, 0)
	c.name, c.random = fmt.Sprintf("%d-%s", p.world.options.Seed, name), rand.New(rand.NewPCG(p.world.options.Seed, p.random.Uint64()))
	p.mu.Unlock()
	defer c.client.CloseIdleConnections()
	c.entries = c.resolve(nil)
	if entry == "" && len(c.entries) > 0 {
		entry = c.anyEntry()
	}
	if entry == "" {
		return
	}
	o := p.world.options.PartCrash
	s := &sent{id: c.name, entry: entry, path: platformtest.StreamPath, stream: c.name, parts: drawParts(c.random), ends: crashing}
	if o.FewShare {
		s.parts[0] = seldomPart
	}
	if crashing {
		s.parts[o.Position-1] = crashingPart
	}
	p.world.mu.Lock()
	s.key = p.world.keys[c.random.IntN(len(p.world.keys))]
	p.world.mu.Unlock()
	c.send(s, s.path+s.id, "body of "+s.id)
	if !crashing {
		c.resume(ctx, s)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, c.calls...)
}

// crashOnPart ends a replica that began an answer on the crashing part, and starts another one later. Without
// lengths the connections end as those of a process that has ended.
func (w *world) crashOnPart(r *runningReplica) {
	w.mu.Lock()
	if !w.remove(r) {
		w.mu.Unlock()
		return
	}
	w.disturbedAt = time.Now()
	w.partCrashes = append(w.partCrashes, w.disturbedAt)
	random := rand.New(rand.NewPCG(w.options.Seed, uint64(len(w.partCrashes))))
	w.mu.Unlock()
	if w.options.WithoutLength {
		r.proxy.end()
	} else {
		r.proxy.close()
	}
	_ = r.server.Close()
	away := minPartRestart + time.Duration(random.Int64N(int64(maxPartRestart-minPartRestart)))
	w.succeedAfter(r, away)
}

// judgeParts checks that calls with a part that has ended crashesUntilKnown replicas are not sent on and on, and
// that sound calls are served all the while.
func (w *world) judgeParts(calls []*sent) {
	w.parts.Ended = len(w.partCrashes)
	if len(w.partCrashes) == 0 {
		return
	}
	known := w.partCrashes[min(len(w.partCrashes), crashesUntilKnown)-1]
	byID := senders(calls)
	var lastCall time.Time
	for _, s := range calls {
		if s.ends && s.at.After(lastCall) {
			lastCall = s.at
		}
	}
	for _, a := range w.runs.Arrivals() {
		s := byID[a.ID]
		if s == nil || !s.ends || len(w.partCrashes) < crashesUntilKnown || a.At.Sub(known) <= partSlack {
			continue
		}
		if a.At.After(w.undisturbedSince(s.entry, a.At)) {
			w.parts.Later++
		}
	}
	if w.parts.Later > partAllowance {
		w.violate("calls with a part under which %d replicas had ended were sent %d times later than %s after; allowed %d; %d ended in all",
			crashesUntilKnown, w.parts.Later, partSlack, partAllowance, len(w.partCrashes))
	}
	for _, s := range calls {
		if s.stream == "" || s.resumes != "" || !w.isOwed(s) || s.at.Sub(known) < soundAfter || s.at.After(lastCall) {
			continue
		}
		if from := s.at.Add(-partSlack); w.disturbedBetween(s.entry, from, s.endedAt) || w.pathsDisturbedBetween(s.entry, from, s.endedAt) {
			continue
		}
		began := len(s.events) > 0 || s.whole()
		if s.parts[0] == seldomPart {
			w.parts.Seldom.count(began)
		} else {
			w.parts.Sound.count(began)
		}
	}
	least := leastSound
	if !w.options.WithoutFaults {
		least = leastSoundAmongFaults
	}
	for name, t := range map[string]tally{"sound calls": w.parts.Sound, "sound calls that share the first part of crashing ones": w.parts.Seldom} {
		if t.asked >= minSoundCalls && float64(t.served) < least*float64(t.asked) {
			w.violate("%d of %d first tries of %s began while calls with a crashing part came", t.served, t.asked, name)
		}
	}
}

// pathFault is a fault that may keep a node from replicas: of the store, of the node's path to it, or of its
// paths to replicas.
type pathFault struct {
	span
	// entries are the nodes that it befalls; empty: all.
	entries []string
	// ofStore is that nodes learn of no more replicas, and use those that they know.
	ofStore bool
}

// disturbPaths notes that such a fault begins; the result ends it.
func (w *world) disturbPaths(f pathFault) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := len(w.pathFaults)
	f.from = time.Now()
	w.pathFaults = append(w.pathFaults, f)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.pathFaults[i].until = time.Now()
	}
}

// pathsDisturbedBetween reports whether such a fault of the node lasted at some time between the two, and may
// have kept the node from all replicas: a fault of the store leaves those that had served before it.
func (w *world) pathsDisturbedBetween(entry string, from, until time.Time) bool {
	return slices.ContainsFunc(w.pathFaults, func(f pathFault) bool {
		if len(f.entries) > 0 && !slices.Contains(f.entries, entry) || !f.lastsBetween(from, until) {
			return false
		}
		return !f.ofStore || w.serving("", f.from, until) < minServing
	})
}

// span is a time; until is zero while it lasts.
type span struct{ from, until time.Time }

func (s *span) lastsBetween(from, until time.Time) bool {
	return s.from.Before(until) && (s.until.IsZero() || s.until.After(from))
}

// PartReport is what became of the calls while calls with a crashing part came.
type PartReport struct {
	// Ended is the number of replicas that such calls ended, Later that of calls sent to replicas
	// later than they may be.
	Ended, Later int
	// Sound and Seldom count the first tries of sound calls, and those that began; Seldom are those
	// with the first part of crashing calls that few others share.
	Sound, Seldom tally
}

func (r *PartReport) String() string {
	return fmt.Sprintf("%d replicas ended, %d calls sent later than allowed, %d of %d sound first tries began, %d of %d with the seldom first part",
		r.Ended, r.Later, r.Sound.served, r.Sound.asked, r.Seldom.served, r.Seldom.asked)
}
