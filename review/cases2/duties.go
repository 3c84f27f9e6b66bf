package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// report is a report of usage that the platform has accepted.
type report struct {
	window int64
	counts map[string]int64
	holder string
	fence  int64
	at     time.Time
}

// usageSink is the platform that takes reports of usage. It implements http.Handler.
type usageSink struct {
	d *deployment

	mu       sync.Mutex
	highest  int64
	accepted []report
}

// ServeHTTP implements http.Handler. A call whose fencing token is lower than one seen before gets 409.
func (s *usageSink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window int64            `json:"windowId"`
		Counts map[string]int64 `json:"counts"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("X-Galenatrestle-Fencing-Token"), 10, 64)
	if err != nil || r.URL.Path != "/usage" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Galenatrestle-Duty-Owner")
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.highest {
		s.d.recordf("usage of window %d from %s, token %d: refused", body.Window, holder, fence)
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.highest = fence
	s.accepted = append(s.accepted, report{window: body.Window, counts: body.Counts, holder: holder, fence: fence, at: time.Now()})
	s.d.recordf("usage of window %d from %s, token %d: accepted %v", body.Window, holder, fence, body.Counts)
}

// of returns the accepted reports of a window.
func (s *usageSink) of(window int64) []report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []report
	for _, r := range s.accepted {
		if r.window == window {
			found = append(found, r)
		}
	}
	return found
}

// differing returns a description of two reports of one window with different counts; empty: there are none.
func (s *usageSink) differing() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := make(map[int64]report)
	for _, r := range s.accepted {
		before, known := first[r.window]
		if !known {
			first[r.window] = r
			continue
		}
		if !maps.Equal(before.counts, r.counts) {
			return fmt.Sprintf("window %d was reported by %s as %v and %.1f s later by %s as %v",
				r.window, before.holder, before.counts, r.at.Sub(before.at).Seconds(), r.holder, r.counts)
		}
	}
	return ""
}

// The bounds of the deployment with duties.
const (
	usageWindow = 5 * time.Second
	usageDelay  = 10 * time.Second
)

// dutySettings is the part of the settings for the duties.
const dutySettings = `  duties:
    address: "%s"
    kinds: ["metering"]
    lease: 3000ms
    usage_window: 5s
    usage_delay: 10s
`
