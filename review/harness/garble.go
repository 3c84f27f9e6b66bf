package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"galenatrestle/platform/platformtest"
)

const (
	// The largest dose of garble on the sheet's site: one answer in twenty for 5.5 s.
	garbleEvery = 20
	garbleTime  = 5500 * time.Millisecond
	// garbleRounds is how often it comes.
	garbleRounds = 3
	garblePause  = 8 * time.Second
	// linkBytes is the capacity of a machine's link, 1000 Mbit/s, in bytes a second.
	linkBytes = 125_000_000
	// memoryLimit is memoryMb of the sheet, in bytes.
	memoryLimit = 284 << 20
	// memoryInterval is the time between two looks at the processes' memory.
	memoryInterval = 20 * time.Millisecond
	// keptLost is how many requests of kept connections may be lost at a machine.
	keptLost = 3
)

// garbler is a replica that spoils some answers while it is on: in place of the answer it sends bytes that are no
// answer. It spoils one at a time.
type garbler struct {
	sound   *platformtest.Replica
	w       *world
	on      atomic.Bool
	answers atomic.Int64
	busy    atomic.Bool
	spoiled atomic.Int64
}

// ServeHTTP implements http.Handler.
func (g *garbler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !g.on.Load() || g.answers.Add(1)%garbleEvery != 0 || !g.busy.CompareAndSwap(false, true) {
		g.sound.ServeHTTP(w, r)
		return
	}
	defer g.busy.Store(false)
	g.spoiled.Add(1)
	id := r.Header.Get(platformtest.HeaderID)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	began, sent := time.Now(), 0
	chunk := bytes.Repeat([]byte("x"), linkBytes/1000)
	for g.on.Load() && time.Since(began) < streamDeadline {
		n, err := conn.Write(chunk)
		sent += n
		if err != nil {
			break
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / linkBytes * float64(time.Second)))))
	}
	g.w.note("garbled answer to %s: %d bytes that are no answer in %.2f s", id, sent, time.Since(began).Seconds())
}

// memoryEnd is the end of a process that has exceeded its memory.
type memoryEnd struct {
	entry string
	at    time.Time
}

// watchMemory ends processes that exceed their memory, as the platform does, and starts them again after a while.
func (w *world) watchMemory(ctx context.Context) []memoryEnd {
	var mu sync.Mutex
	var ends []memoryEnd
	var watchers sync.WaitGroup
	for _, n := range w.nodes {
		watchers.Go(func() {
			most := 0
			for ctx.Err() == nil {
				time.Sleep(memoryInterval)
				used := n.residentBytes()
				most = max(most, used)
				if used <= memoryLimit {
					continue
				}
				at := time.Now()
				<-n.signal(syscall.SIGKILL)
				w.note("%s (%s) has exceeded its memory, %d MB, and is killed by the platform", n.name, n.entry, used>>20)
				mu.Lock()
				ends = append(ends, memoryEnd{n.entry, at})
				mu.Unlock()
				time.Sleep(downTime)
				if err := n.start(); err != nil {
					w.note("start of %s: %v", n.name, err)
				}
			}
			w.note("%s: peak of resident memory %d MB", n.name, most>>20)
		})
	}
	watchers.Wait()
	return ends
}

// residentBytes returns the process's resident memory; zero if it can't be read.
func (n *node) residentBytes() int {
	n.mu.Lock()
	pid := n.process.Process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(string(fields[1]))
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// endlessHead has one replica of several spoil a few answers: it sends bytes that are no answer, without an end. The
// nodes have to bear that within their memory.
func endlessHead(w *world, trouble bool) ([]string, error) {
	storeAddress, err := w.serve(w.store)
	if err != nil {
		return nil, err
	}
	w.configure(1)
	if err := w.addReplicas(service, restartReplicas, restartSlots, restartQueue); err != nil {
		return nil, err
	}
	if err := w.addReplicas(modelService, restartModels-1, modelSlots, restartQueue); err != nil {
		return nil, err
	}
	const faulty = "i-faulty"
	g := &garbler{w: w, sound: &platformtest.Replica{ID: faulty, Runs: w.runs, Slots: modelSlots, Queue: restartQueue}}
	if err := w.addReplica(faulty, modelService, modelSlots, g); err != nil {
		return nil, err
	}
	if err := w.addNodes(restartNodes, storeAddress); err != nil {
		return nil, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	seen := &outcomes{}
	var clients, watch sync.WaitGroup
	clients.Go(func() { w.runClients(ctx, claimPath, restartClients, restartRate, true, seen) })
	clients.Go(func() { w.runClients(ctx, streamPath, restartClients, streamRate, true, seen) })
	var ends []memoryEnd
	watch.Go(func() { ends = w.watchMemory(ctx) })
	for range garbleRounds {
		time.Sleep(garblePause)
		g.on.Store(trouble)
		w.note("garble begins: %v", trouble)
		time.Sleep(garbleTime)
		g.on.Store(false)
		w.note("garble ends")
	}
	time.Sleep(garblePause)
	cancel()
	clients.Wait()
	watch.Wait()
	return w.judgeMemory(ends, g.spoiled.Load(), faulty, seen)
}

// judgeMemory returns the machines that closed more than keptLost kept connections without an answer to a request that
// they had passed on to a sound replica. A process that ends by itself counts as running all the while.
func (w *world) judgeMemory(ends []memoryEnd, spoiled int64, faulty string, seen *outcomes) ([]string, error) {
	ran := make(map[string]string)
	for _, run := range w.runs.All() {
		ran[run.ID] = run.Replica
		w.note("replica %s runs %s, %.3f s after the start", run.Replica, run.ID, run.At.Sub(w.began).Seconds())
	}
	lost, begun := make(map[string]int), make(map[string]int)
	counts := make(map[string]int)
	for _, o := range seen.list {
		counts[fmt.Sprintf("status %d", o.status)]++
		replica, passedOn := ran[o.id]
		if !o.kept || o.sentAt.IsZero() || o.answered() || errors.Is(o.err, os.ErrDeadlineExceeded) || !passedOn || replica == faulty {
			continue
		}
		if o.begun {
			begun[o.address]++
			continue
		}
		lost[o.address]++
	}
	w.note("attempts by outcome (status 0: no whole answer): %v; %d answers were spoiled", counts, spoiled)
	if counts["status 200"] == 0 {
		return nil, errors.New("nothing was served")
	}
	byEntry := make(map[string]int)
	for _, e := range ends {
		byEntry[e.entry]++
	}
	total := 0
	for entry, count := range byEntry {
		w.note("%s ended %d times for its memory; of its kept connections %d were closed without an answer, %d in the answer", entry, count, lost[entry], begun[entry])
		total += lost[entry]
	}
	var broken []string
	if total > keptLost {
		broken = append(broken, fmt.Sprintf("%d processes exceeded their memory after %d spoiled answers; %d requests of kept connections, passed on to sound replicas, got no answer", len(ends), spoiled, total))
	}
	return broken, nil
}
