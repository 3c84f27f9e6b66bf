package membership

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
	"galenatrestle/internal/gen/trestle/membership/v1/membershipv1connect"
	"galenatrestle/internal/platform"
)

const tickInterval = 100 * time.Millisecond

// maxCalls limits the calls of Run that are in progress; more are dropped.
const maxCalls = 64

// Runner runs a Table: it sends the table's calls, serves the calls of peers and
// publishes snapshots. It implements View and is safe for concurrent use.
type Runner struct {
	caller      Caller
	callTimeout time.Duration
	snapshot    atomic.Pointer[Snapshot]
	callSlots   chan struct{}
	calls       sync.WaitGroup

	mu            sync.Mutex
	table         *Table
	noteReceivers map[string]func(*membershipv1.Note)
}

// NewRunner returns a Runner; call Run to start it.
func NewRunner(self Member, settings Settings, caller Caller, rng *rand.Rand) *Runner {
	r := &Runner{
		caller:        caller,
		callTimeout:   settings.withDefaults().ProbeTimeout,
		callSlots:     make(chan struct{}, maxCalls),
		table:         NewTable(self, settings, rng, time.Now()),
		noteReceivers: make(map[string]func(*membershipv1.Note)),
	}
	r.snapshot.Store(r.table.Snapshot())
	return r
}

// Run sends the table's calls until ctx is done, and returns when the last one has
// ended.
func (r *Runner) Run(ctx context.Context) error {
	defer r.calls.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, call := range r.tick() {
			r.startCall(func() { r.send(ctx, call) })
		}
	}
}

// View returns the current snapshot.
func (r *Runner) View() *Snapshot { return r.snapshot.Load() }

// Self implements View.
func (r *Runner) Self() Member { return r.View().Self() }

// Members implements View.
func (r *Runner) Members() []Member { return r.View().Members() }

// Owner implements View.
func (r *Runner) Owner(key string) Member { return r.View().Owner(key) }

// Owners returns up to n members in rendezvous order, the key's owner first.
func (r *Runner) Owners(key string, n int) []Member { return r.View().Owners(key, n) }

// SetStatus sets this node's own load and configuration revision.
func (r *Runner) SetStatus(load float64, revision int64) {
	r.update(func(now time.Time) { r.table.SetStatus(now, load, revision) })
}

// Leave marks this node as leaving; peers are notified within a tick.
func (r *Runner) Leave() { r.update(func(now time.Time) { r.table.Leave(now) }) }

// CancelLeave reverts Leave; see Table.CancelLeave.
func (r *Runner) CancelLeave() { r.update(func(now time.Time) { r.table.CancelLeave(now) }) }

// AddSeed adds a configured peer address as a seed.
func (r *Runner) AddSeed(address string) {
	r.update(func(time.Time) { r.table.AddSeed(address) })
}

// ApplyInstances applies the platform's list of entry VMs.
func (r *Runner) ApplyInstances(list []platform.Instance) {
	r.update(func(now time.Time) { r.table.ApplyInstances(now, list) })
}

// Publish sends a note to all members of the region.
func (r *Runner) Publish(n *membershipv1.Note) error {
	var err error
	r.update(func(now time.Time) { err = r.table.Publish(now, n) })
	return err
}

// OnNote registers a receiver, which must not block, for notes of one kind from
// peers. It must be called before Run.
func (r *Runner) OnNote(kind string, receive func(*membershipv1.Note)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteReceivers[kind] = receive
}

// Counts returns the protocol's event counts since the start.
func (r *Runner) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Counts()
}

// Handler returns the path and the handler to mount on the peer listener.
func (r *Runner) Handler() (string, http.Handler) {
	return membershipv1connect.NewMembershipServiceHandler(r)
}

// Sync implements MembershipServiceHandler.
func (r *Runner) Sync(_ context.Context, request *connect.Request[membershipv1.SyncRequest]) (*connect.Response[membershipv1.SyncResponse], error) {
	var response *membershipv1.SyncResponse
	r.update(func(now time.Time) { response = r.table.HandleSync(now, request.Msg) })
	return connect.NewResponse(response), nil
}

// Probe implements MembershipServiceHandler: it probes a member for another.
func (r *Runner) Probe(ctx context.Context, request *connect.Request[membershipv1.ProbeRequest]) (*connect.Response[membershipv1.ProbeResponse], error) {
	var call Call
	r.update(func(now time.Time) { call = r.table.HandleProbe(now, request.Msg) })
	reached := r.exchange(ctx, call)
	return connect.NewResponse(&membershipv1.ProbeResponse{Reached: reached}), nil
}

func (r *Runner) tick() []Call {
	var calls []Call
	r.update(func(now time.Time) { calls = r.table.Tick(now) })
	return calls
}

// update runs f under the lock, publishes the snapshot and delivers new notes.
func (r *Runner) update(f func(now time.Time)) {
	r.mu.Lock()
	f(time.Now())
	r.snapshot.Store(r.table.Snapshot())
	notes := r.table.TakeNotes()
	receivers := r.receivers(notes)
	r.mu.Unlock()
	for i, n := range notes {
		if receivers[i] != nil {
			receivers[i](n)
		}
	}
}

func (r *Runner) receivers(notes []*membershipv1.Note) []func(*membershipv1.Note) {
	receivers := make([]func(*membershipv1.Note), len(notes))
	for i, n := range notes {
		receivers[i] = r.noteReceivers[n.Kind]
	}
	return receivers
}

// startCall runs f on a new goroutine, or drops it if maxCalls are running.
func (r *Runner) startCall(f func()) {
	select {
	case r.callSlots <- struct{}{}:
	default:
		return
	}
	r.calls.Go(func() {
		defer func() { <-r.callSlots }()
		f()
	})
}

// send makes one call and, if it is a probe that fails, the indirect probes.
func (r *Runner) send(ctx context.Context, call Call) {
	if r.exchange(ctx, call) || ctx.Err() != nil {
		return
	}
	var indirect []IndirectCall
	r.update(func(now time.Time) { indirect = r.table.HandleFailure(now, call) })
	if len(indirect) == 0 {
		return
	}
	reached := r.probeIndirectly(ctx, indirect)
	if ctx.Err() != nil {
		return
	}
	r.update(func(now time.Time) {
		if reached {
			r.table.HandleIndirectSuccess(now, call)
			return
		}
		r.table.HandleUnreachable(now, call)
	})
}

// exchange makes one call and reports whether its target responded.
func (r *Runner) exchange(ctx context.Context, call Call) bool {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	response, err := r.caller.Sync(ctx, call.Address, call.Request)
	if err != nil || !call.MatchesResponse(response) {
		return false
	}
	r.update(func(now time.Time) { r.table.HandleResponse(now, call, response) })
	return true
}

// probeIndirectly reports whether one of the helpers reached the target.
func (r *Runner) probeIndirectly(ctx context.Context, calls []IndirectCall) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*r.callTimeout)
	defer cancel()
	results := make(chan bool, len(calls))
	for _, c := range calls {
		go func() {
			response, err := r.caller.Probe(ctx, c.Address, c.Request)
			results <- err == nil && response.GetReached()
		}()
	}
	for range calls {
		if <-results {
			return true
		}
	}
	return false
}
