package crashcause

import "galenatrestle/internal/quarantine"

// Kept are the records of what crashes replicas that the platform's store keeps.
type Kept struct {
	Quarantines []quarantine.Record
	Causes      []Record
}

// Len returns the number of records.
func (k *Kept) Len() int { return len(k.Quarantines) + len(k.Causes) }
