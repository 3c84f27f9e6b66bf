package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// ReloadInterval is how often Keys.Run looks for changed files.
const ReloadInterval = 2 * time.Second

// Keys holds a node's key files as last read whole and valid. It is safe for
// concurrent use.
type Keys struct {
	files   KeyFiles
	current atomic.Pointer[keySet]
	reloads *prometheus.CounterVec
}

// NewKeys reads the files; it fails if one of them cannot be used. With no
// files named it returns keys that are disabled.
func NewKeys(files KeyFiles, registerer prometheus.Registerer) (*Keys, error) {
	k := &Keys{files: files, reloads: newReloadCounter(registerer)}
	if files.Empty() {
		return k, nil
	}
	set, err := readKeySet(files)
	if err != nil {
		return nil, err
	}
	set.generation = 1
	k.current.Store(set)
	return k, nil
}

// Enabled reports whether the link is authenticated and encrypted.
func (k *Keys) Enabled() bool { return !k.files.Empty() }

// Reload reads the files again and reports whether they had changed. A file
// that cannot be used leaves the keys as they were; the error names it.
func (k *Keys) Reload() (bool, error) {
	if !k.Enabled() {
		return false, nil
	}
	set, err := readKeySet(k.files)
	if err != nil {
		k.reloads.WithLabelValues(reloadFailed).Inc()
		return false, err
	}
	old := k.current.Load()
	if set.same(old) {
		return false, nil
	}
	set.generation = old.generation + 1
	k.current.Store(set)
	k.reloads.WithLabelValues(reloadDone).Inc()
	return true, nil
}

// Run reloads the files at each ReloadInterval until ctx ends and passes
// errors to report.
func (k *Keys) Run(ctx context.Context, report func(error)) {
	if !k.Enabled() {
		return
	}
	ticker := time.NewTicker(ReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := k.Reload(); err != nil {
			report(err)
		}
	}
}
