package quarantine

import (
	"cmp"
	"time"

	"galenatrestle/internal/ctxtime"
)

// Record is the crash history of one fingerprint. Records of one fingerprint
// merge to their least upper bound, in any order and any number of times.
type Record struct {
	Fingerprint Fingerprint
	// LastCrash is when a replica last crashed while running the request, and
	// LastReplica a hash of the replica's name.
	LastCrash   time.Time
	LastReplica uint32
	// lastRun is how long the request had run there; zero: not known. Other nodes are not told.
	lastRun time.Duration
	// Crashes is the number of known crashes since the request was last Normal. Crashes
	// that several nodes see at the same time may be counted once.
	Crashes int
	// Until is the end of the last quarantine; zero if there was none.
	Until time.Time
	// ClearedAt is when the request last finished. Crashes and Until are those since then.
	ClearedAt time.Time
}

// merge returns the least upper bound: the later crash, and the later clearing with what
// followed it. A quarantine is not shortened by a record of a node that did not know of it.
func merge(a, b Record) Record {
	if a.crashBefore(b) {
		a.LastCrash, a.LastReplica, a.lastRun = b.LastCrash, b.LastReplica, b.lastRun
	}
	switch a.ClearedAt.Compare(b.ClearedAt) {
	case -1:
		a.ClearedAt, a.Crashes, a.Until = b.ClearedAt, b.Crashes, b.Until
	case 0:
		a.Crashes = max(a.Crashes, b.Crashes)
		a.Until = ctxtime.Later(a.Until, b.Until)
	}
	return a
}

// crashBefore orders records by the time of the crash, then by replica.
func (r Record) crashBefore(other Record) bool {
	return cmp.Or(r.LastCrash.Compare(other.LastCrash), cmp.Compare(r.LastReplica, other.LastReplica)) < 0
}

// verdict returns how the request may run at now on a node that waits for trialDelay after
// the end of a quarantine.
func (r Record) verdict(now time.Time, trialDelay time.Duration) Verdict {
	switch {
	case !r.ClearedAt.Before(r.LastCrash) || !now.Before(r.expiresAt()):
		return Normal
	case r.Until.IsZero():
		return RunAlone
	case now.Before(r.Until.Add(trialDelay)):
		return Refuse
	default:
		return Trial
	}
}

// expiresAt returns when the record no longer has an effect.
func (r Record) expiresAt() time.Time {
	return ctxtime.Later(r.Until, r.LastCrash).Add(suspicionDuration)
}
