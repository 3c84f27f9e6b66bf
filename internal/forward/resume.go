package forward

import (
	"errors"
	"time"

	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/route"
)

// resumer is who resumes a stream at another replica.
type resumer string

const (
	resumedByNode   resumer = "node"
	resumedByCaller resumer = "caller"
)

// versionMatch is how the software version of a replica compares with that at which the stream began.
type versionMatch string

const (
	sameVersion    versionMatch = "same"
	otherVersion   versionMatch = "other"
	unknownVersion versionMatch = "unknown"
)

const (
	// versionWait is how long a stream waits for a replica of its version if none takes it, as after
	// several have crashed: others may start soon, and registrations take about a second to arrive. It
	// is less than callers wait for an event.
	versionWait = 1200 * time.Millisecond
	// versionRetryPause is the time between two looks for one.
	versionRetryPause = 100 * time.Millisecond
)

// awaitVersion waits a moment and reports true if the stream can go on only at one software version and
// no replica of it could be reached. A new stream would have gone to another version.
func (e *exchange) awaitVersion(f *Failure) bool {
	noneLeft := errors.Is(f, errNoReplica) || e.triedAgain || e.notRunAttempts() >= maxNotRunAttempts
	if e.placementRequest.Version == nil || !f.NotRun || f.ReachedReplica || !noneLeft {
		return false
	}
	now := time.Now()
	if e.awaited == 0 {
		e.awaitedSince = now
	}
	if now.Sub(e.awaitedSince) >= versionWait || ctxtime.Sleep(e.ctx, versionRetryPause) != nil {
		return false
	}
	e.awaited++
	return true
}

// recordVersion restricts further attempts to the software version that sends the stream's first events,
// as what two versions write does not fit together. It reports a stream that another replica began.
func (a *attempt) recordVersion() {
	if a.receivedEvents {
		return
	}
	a.receivedEvents = true
	e := a.exchange
	e.forwarder.options.CrashGuard.answering(a.guardedRun)
	if e.callerResponse.hasStarted() || e.call.ResumesStream() {
		a.reportResumed()
	}
	if e.placementRequest.Version == nil {
		version := a.placementAttempt.Replica.Version
		e.placementRequest.Version = &version
	}
	if e.call.Route.Repeat == route.ResumableStream && e.forwarder.options.OnStreamBegan != nil {
		e.forwarder.options.OnStreamBegan(e.call, a.placementAttempt.Replica.Version)
	}
}

func (a *attempt) reportResumed() {
	e := a.exchange
	by, match := resumedByNode, unknownVersion
	if !e.callerResponse.hasStarted() {
		by = resumedByCaller
	}
	switch version := a.placementAttempt.Replica.Version; {
	case e.placementRequest.Version == nil:
	case *e.placementRequest.Version == version:
		match = sameVersion
	default:
		match = otherVersion
	}
	e.forwarder.metrics.resumedStreams.WithLabelValues(e.call.Upstream, string(by), string(match)).Inc()
	e.forwarder.options.Log.Write(&streamResumed{attempt: a, by: by, match: match, beganVersion: e.placementRequest.Version})
}

// streamResumed is logged for a stream that goes on at a replica that did not begin it.
type streamResumed struct {
	attempt      *attempt
	by           resumer
	match        versionMatch
	beganVersion *string
}

func (*streamResumed) Name() string { return "stream_resumed" }

func (*streamResumed) Level() eventlog.Level { return eventlog.Notable }

func (ev *streamResumed) Fields() eventlog.Fields {
	e := ev.attempt.exchange
	fields := e.fields()
	fields["by"], fields["compared"], fields["after_event"] = ev.by, ev.match, e.lastEventID
	fields["version"] = ev.attempt.placementAttempt.Replica.Version
	if ev.beganVersion != nil {
		fields["began_version"] = *ev.beganVersion
	}
	if e.call.Resumes != "" {
		fields["resumes"] = e.call.Resumes
	}
	return fields
}
