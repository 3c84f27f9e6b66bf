package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"galenatrestle/platform/platformtest"
)

// Endless is a part of an answer that has no end.
type Endless struct {
	// Head begins the answer; ID stands for that of the call. Repeated follows it until the connection is closed.
	Head, Repeated string
	// BytesPerSecond is how fast it comes.
	BytesPerSecond int
}

const (
	// endlessEvery is how many answers of a faulty replica there are to one without an end.
	endlessEvery = 20
	// faultyPart is how many replicas there are to a faulty one.
	faultyPart = 4
	// endlessPiece is the size in bytes in which an answer without an end is sent.
	endlessPiece = 64 << 10
	// leastServedBesides is the part of the other calls that must be served.
	leastServedBesides = 0.97
	// memoryInterval is the time between two looks at a process's memory.
	memoryInterval = 10 * time.Millisecond
)

// endlessAnswers is a replica of which some answers have no end.
type endlessAnswers struct {
	sound http.Handler
	world *world
	count atomic.Int64
}

// ServeHTTP implements http.Handler.
func (e *endlessAnswers) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	count := int(e.count.Add(1))
	if count%endlessEvery != 0 {
		e.sound.ServeHTTP(w, q)
		return
	}
	endless := e.world.options.Endless[count/endlessEvery%len(e.world.options.Endless)]
	id := q.Header.Get(platformtest.HeaderID)
	e.world.mu.Lock()
	e.world.spoiled[id] = true
	e.world.mu.Unlock()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	piece := []byte(strings.Repeat(endless.Repeated, endlessPiece/len(endless.Repeated)))
	_, err = conn.Write([]byte(strings.ReplaceAll(endless.Head, "ID", id)))
	began := time.Now()
	for sent := 0; err == nil && time.Since(began) < callerTimeout; sent += len(piece) {
		_, err = conn.Write(piece)
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / float64(endless.BytesPerSecond) * float64(time.Second)))))
	}
}

// handlerOf returns what serves the replica with the number.
func (w *world) handlerOf(number int, sound *platformtest.Replica) http.Handler {
	if len(w.options.Endless) == 0 || number%faultyPart != 0 {
		return sound
	}
	return &endlessAnswers{sound: sound, world: w}
}

// watchMemory records the most resident memory of each process until done is closed.
func (w *world) watchMemory(done <-chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		for _, n := range w.nodes {
			n.peakMemory = max(n.peakMemory, n.residentBytes())
		}
	}
}

// residentBytes returns the process's resident memory; zero if it can't be read.
func (n *node) residentBytes() int {
	n.mu.Lock()
	pid := n.process.Process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := bytes.Fields(text)
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(string(fields[1]))
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// judgeMemory checks that no process exceeded its memory.
func (w *world) judgeMemory() {
	for _, n := range w.nodes {
		if limit := w.options.MemoryMB << 20; limit > 0 && n.peakMemory > limit {
			w.violate("%s held %d MB, its memory is %d MB", n.name, n.peakMemory>>20, w.options.MemoryMB)
		}
	}
}

// judgeEndless checks that calls whose answers end are served beside those without an end, and that none of the
// latter looks whole.
func (w *world) judgeEndless(calls []*sent, runs map[string][]platformtest.Run) {
	if len(w.options.Endless) == 0 {
		return
	}
	besides := tally{}
	for _, s := range calls {
		switch {
		case !w.spoiled[s.id]:
			besides.add(s)
		case s.whole() && len(runs[s.id]) == 0:
			w.violate("%s looks whole, and its answer had no end", s.id)
		}
	}
	if float64(besides.served) < leastServedBesides*float64(besides.asked) {
		w.violate("%d of %d calls were served beside %d answers without an end", besides.served, besides.asked, len(w.spoiled))
	}
}
