package crashcause

import (
	"cmp"
	"slices"
)

// Cause is a factor under which several replicas crashed.
type Cause struct {
	Factor Factor
	// Rivals are the other factors that may be the cause in its place: they were present in nearly all of the
	// crashes, and no call has shown them to be sound since.
	Rivals []Factor
	// Together are parts that may be the causes in its place together, where it has no rival: one of them was
	// present in nearly each of the crashes.
	Together []Factor
	// Crashes is the number of its crashes that no other cause explains.
	Crashes int
}

// isCertain reports whether nothing else may be the cause.
func (c *Cause) isCertain() bool { return len(c.Rivals) == 0 && len(c.Together) == 0 }

// isMet reports whether a call with the factors, the cause among them, is to be refused: whatever may be
// the cause instead is in it as well.
func (c *Cause) isMet(factors []Factor) bool {
	isIn := func(f Factor) bool { return slices.Contains(factors, f) }
	if len(c.Together) > 0 {
		return slices.ContainsFunc(c.Together, isIn)
	}
	return !slices.ContainsFunc(c.Rivals, func(r Factor) bool { return !isIn(r) })
}

// rivalMisses is the number of crashes of a cause in which a rival may have been absent: a replica may have
// crashed for another reason meanwhile.
const rivalMisses = 1

// maxSuspects bounds the records among which causes are looked for: each is compared with all others.
const maxSuspects = 64

// findCauses returns the causes among the records, those with most crashes first. Of many records it looks at those with
// most crashes.
func findCauses(records []*Record) []Cause {
	records = slices.Clone(records)
	slices.SortFunc(records, func(a, b *Record) int {
		return cmp.Or(len(b.Crashes)-len(a.Crashes), a.lastCrash().Compare(b.lastCrash()), cmp.Compare(a.Factor, b.Factor))
	})
	records = records[:min(len(records), maxSuspects)]
	crashed := make(map[Factor]map[ReplicaHash]bool, len(records))
	for _, r := range records {
		replicas := make(map[ReplicaHash]bool, len(r.Crashes))
		for _, c := range r.Crashes {
			replicas[c.Replica] = true
		}
		crashed[r.Factor] = replicas
	}
	var causes []Cause
	explained := make(map[ReplicaHash]bool)
	isCause := make(map[Factor]bool)
	for _, r := range records {
		unexplained := slices.DeleteFunc(slices.Clone(r.Crashes), func(c Crash) bool { return explained[c.Replica] })
		if !isEnough(unexplained) {
			continue
		}
		cause := Cause{Factor: r.Factor, Crashes: len(unexplained)}
		for _, other := range records {
			if other != r && !isCause[other.Factor] && coversNearly(crashed[other.Factor], unexplained) {
				cause.Rivals = append(cause.Rivals, other.Factor)
			}
		}
		if len(cause.Rivals) == 0 {
			cause.Together = findTogether(records, r, isCause, unexplained)
		}
		causes = append(causes, cause)
		if cause.isCertain() {
			isCause[r.Factor] = true
			for replica := range crashed[r.Factor] {
				explained[replica] = true
			}
		}
	}
	return causes
}

// findTogether returns the parts besides that of the record that were present in nearly all of the crashes
// together; none if there were not.
func findTogether(records []*Record, besides *Record, isCause map[Factor]bool, crashes []Crash) []Factor {
	var parts []Factor
	covered := make(map[ReplicaHash]bool)
	for _, r := range records {
		if r == besides || !r.Factor.isPart() || isCause[r.Factor] {
			continue
		}
		parts = append(parts, r.Factor)
		for _, c := range r.Crashes {
			covered[c.Replica] = true
		}
	}
	if !coversNearly(covered, crashes) {
		return nil
	}
	return parts
}

// coversNearly reports whether the replicas are all of those of the crashes, but for rivalMisses.
func coversNearly(replicas map[ReplicaHash]bool, crashes []Crash) bool {
	missing := 0
	for _, c := range crashes {
		if !replicas[c.Replica] {
			missing++
		}
	}
	return missing <= rivalMisses
}
