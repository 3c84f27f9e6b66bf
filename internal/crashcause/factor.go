package crashcause

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/quarantine"
)

// Factor identifies something that calls can have in common: a part of the prompt, or
// the whole content. The lowest bit tells which.
type Factor uint64

const contentBit = 1

// PartFactor returns the factor of a part of prompts. Factors of different scopes, as upstreams, differ.
func PartFactor(scope string, part quarantine.PromptPart) Factor {
	return factorOf(scope, uint64(part)) &^ contentBit
}

// ContentFactor returns the factor of a call's whole content, by its fingerprint.
func ContentFactor(scope string, fingerprint quarantine.Fingerprint) Factor {
	return factorOf(scope, uint64(fingerprint)) | contentBit
}

// FactorsOf returns the factors of a call, that of its content first.
func FactorsOf(scope string, fingerprint quarantine.Fingerprint, parts []quarantine.PromptPart) []Factor {
	factors := []Factor{ContentFactor(scope, fingerprint)}
	for _, part := range parts {
		factors = append(factors, PartFactor(scope, part))
	}
	return factors
}

func factorOf(scope string, id uint64) Factor {
	encoded := binary.LittleEndian.AppendUint64(nil, id)
	return Factor(xxhash.Sum64(append(encoded, scope...)))
}

func (f Factor) isPart() bool { return f&contentBit == 0 }

// String returns the form used in logs.
func (f Factor) String() string { return fmt.Sprintf("%016x", uint64(f)) }
