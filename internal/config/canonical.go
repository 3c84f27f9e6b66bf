package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"slices"
)

// Sum is the SHA-256 of a document's canonical form. Two nodes with one sum
// have the same configuration.
type Sum [sha256.Size]byte

// Canonical returns a copy of the document whose lists are ordered by name.
// The entries are shared with the original, which must not be changed.
func Canonical(document *Document) *Document {
	return &Document{
		Workspaces: sortedByName(document.Workspaces),
		Classes:    sortedByName(document.Classes),
		Upstreams:  sortedByName(document.Upstreams),
		Limits:     document.Limits,
	}
}

// EncodeCanonical returns the canonical document as JSON: a tenth of the cost
// of YAML, for use between nodes and in the platform's store.
func EncodeCanonical(canonical *Document) ([]byte, error) {
	return json.Marshal(canonical)
}

// DecodeCanonical reads what EncodeCanonical wrote.
func DecodeCanonical(data []byte) (*Document, error) {
	document := &Document{}
	if err := json.Unmarshal(data, document); err != nil {
		return nil, err
	}
	return document, nil
}

// SumOf returns the sum of a canonical document.
func SumOf(canonical *Document) (Sum, error) {
	data, err := EncodeCanonical(canonical)
	if err != nil {
		return Sum{}, err
	}
	return sha256.Sum256(data), nil
}

// entry is what the three lists of a document hold.
type entry interface {
	Workspace | Class | Upstream
	entryName() string
}

func (w Workspace) entryName() string { return w.Name }
func (c Class) entryName() string     { return c.Name }
func (u Upstream) entryName() string  { return u.Name }

func sortedByName[T entry](list []T) []T {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b T) int { return cmp.Compare(a.entryName(), b.entryName()) })
	return sorted
}
