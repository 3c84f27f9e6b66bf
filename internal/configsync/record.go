package configsync

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"galenatrestle/internal/config"
)

// The keys of the store.
const (
	headKey      = "config/head"
	recordPrefix = "config/record/"
	bodyPrefix   = "config/body/"
)

// Record describes one configuration: a proposal until the head names it, an
// accepted revision from then on.
type Record struct {
	// ID is the unique id of the write that accepts it.
	ID string `json:"id"`
	// Revision is the configuration's own number, counting from 1.
	Revision int64 `json:"revision"`
	// Base is the revision it was worked out on; zero for the first.
	Base int64 `json:"base"`
	// Previous is the base's ID; empty for the first.
	Previous string `json:"previous,omitempty"`
	Author   string `json:"author"`
	// Created is when it was proposed, Accepted when it was confirmed.
	Created  time.Time `json:"created"`
	Accepted time.Time `json:"accepted,omitzero"`
	// Sum is the hex SHA-256 of the canonical document.
	Sum string `json:"sum"`
	// Chunks is the number of values that hold the packed document.
	Chunks int `json:"chunks"`
	// Patch is the packed patch from the base, nil where it would be large.
	Patch []byte `json:"patch,omitempty"`
	// Summary names what it changes.
	Summary string `json:"summary"`
}

func (r *Record) sum() (config.Sum, error) {
	var sum config.Sum
	decoded, err := hex.DecodeString(r.Sum)
	if err != nil || len(decoded) != len(sum) {
		return sum, fmt.Errorf("configuration record %s has the sum %q", r.ID, r.Sum)
	}
	copy(sum[:], decoded)
	return sum, nil
}

func recordKey(id string) string { return recordPrefix + id }

func bodyKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%03d", bodyPrefix, id, chunk) }

func decodeRecord(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, err
}
