package handover

import (
	"context"
	"encoding/json"
	"sync"

	"galenatrestle/internal/platform/memstore"
)

// simLedger stands for the claims in one side's platform.
type simLedger struct {
	kv    *memstore.Store
	mu    sync.Mutex
	moved bool
	// movedAt is the epoch of the newest export.
	movedAt int64
	claims  map[string]string
}

// claim returns "" for a new claim, "open", or the recorded outcome; false
// where the set has moved away.
func (l *simLedger) claim(key string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, known := l.claims[key]
	if known {
		return state, true
	}
	if l.moved {
		return "", false
	}
	l.claims[key] = "open"
	return "", true
}

func (l *simLedger) settle(key, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claims[key] = outcome
}

func (l *simLedger) up(ctx context.Context) error {
	_, _, err := l.kv.List(ctx, "claim/")
	return err
}

func (l *simLedger) Export(ctx context.Context, _ Set, epoch int64) ([][]byte, error) {
	if err := l.up(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moved, l.movedAt = true, epoch
	parts := []map[string]string{{}, {}}
	for key, state := range l.claims {
		parts[len(key)%2][key] = state
	}
	var out [][]byte
	for _, part := range parts {
		b, err := json.Marshal(part)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

func (l *simLedger) Import(ctx context.Context, _ Set, epoch int64, b []byte) error {
	if err := l.up(ctx); err != nil {
		return err
	}
	var claims map[string]string
	if err := json.Unmarshal(b, &claims); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.movedAt < epoch {
		l.moved = false
	}
	for key, state := range claims {
		if known, ok := l.claims[key]; !ok || known == "open" {
			l.claims[key] = state
		}
	}
	return nil
}
