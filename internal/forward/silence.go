package forward

import "time"

const (
	// leastPatience bounds from below how long a first byte is awaited before
	// the call is tried elsewhere.
	leastPatience = 150 * time.Millisecond
	// waitFactor times the expected wait is added to the patience: a replica that
	// is busy is not silent.
	waitFactor = 2
	// pauseFactor times the longest pause on time, and at least leastPause, is
	// how long a stream's next event is awaited before the stream is resumed
	// elsewhere.
	pauseFactor = 4
	leastPause  = 700 * time.Millisecond
)

// patience is how long the first byte is awaited; zero: to the deadline. Only a
// call that may run again, with an attempt left, is ever ended for silence:
// ending another one would give up an answer that may still come.
func (a *attempt) patience() time.Duration {
	e := a.exchange
	if e.outlet.begun() {
		return a.pause()
	}
	if !e.call.Route.MayRunAgain() || e.mayHaveRun+1 >= e.call.Route.MaxAttempts {
		return 0
	}
	return max(e.call.Route.Objective, leastPatience) + waitFactor*a.place.Choice.FirstTokenTime
}

// pause is how long a stream's next event is awaited; zero: to the deadline.
func (a *attempt) pause() time.Duration {
	e := a.exchange
	if !e.mayResume() {
		return 0
	}
	return max(pauseFactor*e.call.Route.MaxPause, leastPause)
}

// startSilence ends the attempt after d without a further call; zero: never.
func (a *attempt) startSilence(d time.Duration) {
	if a.silence != nil {
		a.silence.Stop()
	}
	a.timed = d > 0
	if !a.timed {
		return
	}
	if a.silence != nil {
		a.silence.Reset(d)
		return
	}
	a.silence = time.AfterFunc(d, a.leave)
}

// leave ends the attempt for its silence, if the budget has an attempt to put in
// its place: without one the answer that may still come is all there is.
func (a *attempt) leave() {
	e := a.exchange
	if !e.forwarder.options.Budget.Take(time.Now(), e.call.Upstream) {
		return
	}
	a.impatient.Store(true)
	a.conn.Close()
}

// stopSilence reports whether the attempt's connection is certainly not ended for
// silence any more. Where its time was up just now, it may be closed at any moment,
// and must not serve another call.
func (a *attempt) stopSilence() bool {
	return !a.timed || a.silence.Stop()
}
