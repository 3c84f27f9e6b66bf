package forward

import "galenatrestle/internal/eventlog"

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

// recordVersion restricts further attempts to the software version that sends the stream's first events,
// as what two versions write does not fit together. It reports a stream that another replica began.
func (a *attempt) recordVersion() {
	if a.receivedEvents {
		return
	}
	a.receivedEvents = true
	e := a.exchange
	if e.callerResponse.hasStarted() || e.call.ResumesStream() {
		a.reportResumed()
	}
	if e.placementRequest.Version == nil {
		version := a.placementAttempt.Replica.Version
		e.placementRequest.Version = &version
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
