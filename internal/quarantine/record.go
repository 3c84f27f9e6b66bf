package quarantine

import "time"

// Record is the crash history of one fingerprint. Records of one fingerprint
// merge to their least upper bound, in any order and any number of times.
type Record struct {
	Fingerprint Fingerprint
	// LastCrash is when a replica last crashed while running the request.
	LastCrash time.Time
	// Level is the number of quarantines so far; zero for a suspect.
	Level int
	// Until is the end of the quarantine; zero for a suspect.
	Until time.Time
	// ClearedAt is when the request last finished.
	ClearedAt time.Time
}

// merge returns the least upper bound: the later crash with its level and end,
// and the later clearing.
func merge(a, b Record) Record {
	if a.crashBefore(b) {
		a.LastCrash, a.Level, a.Until = b.LastCrash, b.Level, b.Until
	}
	if a.ClearedAt.Before(b.ClearedAt) {
		a.ClearedAt = b.ClearedAt
	}
	return a
}

// crashBefore orders records by crash time, then level, then end of quarantine.
func (r Record) crashBefore(other Record) bool {
	if !r.LastCrash.Equal(other.LastCrash) {
		return r.LastCrash.Before(other.LastCrash)
	}
	if r.Level != other.Level {
		return r.Level < other.Level
	}
	return r.Until.Before(other.Until)
}

// verdict returns how the request may run at now.
func (r Record) verdict(now time.Time) Verdict {
	switch {
	case !r.ClearedAt.Before(r.LastCrash):
		return Normal
	case now.Before(r.Until):
		return Refuse
	case now.Before(r.expires()):
		return RunAlone
	default:
		return Normal
	}
}

// expires returns when the record no longer has an effect.
func (r Record) expires() time.Time {
	if r.Until.After(r.LastCrash) {
		return r.Until.Add(suspectFor)
	}
	return r.LastCrash.Add(suspectFor)
}
