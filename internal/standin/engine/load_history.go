package engine

import "time"

// loadSample is the load from a moment on.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// loadHistory keeps the samples of the last lag, so that reports can be as old
// as that. The engine's lock guards it.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

// maxLoadSamples bounds the history; past it reports are younger than the lag.
const maxLoadSamples = 4096

func (h *loadHistory) add(running, waiting int) {
	if last := len(h.samples) - 1; last >= 0 && h.samples[last].running == running && h.samples[last].waiting == waiting {
		return
	}
	now := time.Now()
	h.prune(now)
	if len(h.samples) == maxLoadSamples {
		h.samples = append(h.samples[:0], h.samples[maxLoadSamples/2:]...)
	}
	h.samples = append(h.samples, loadSample{at: now, running: running, waiting: waiting})
}

// report returns the load as it was one lag ago.
func (h *loadHistory) report() loadSample {
	now := time.Now()
	h.prune(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.lag)) {
		return loadSample{}
	}
	return h.samples[0]
}

// prune drops the samples that were replaced before one lag ago.
func (h *loadHistory) prune(now time.Time) {
	old := now.Add(-h.lag)
	keep := 0
	for keep+1 < len(h.samples) && !h.samples[keep+1].at.After(old) {
		keep++
	}
	if keep > 0 {
		h.samples = append(h.samples[:0], h.samples[keep:]...)
	}
}
