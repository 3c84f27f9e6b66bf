package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// The sheet of psdc-trestle: 7 machines, 3 replicas of the plain service with 6 slots, 31.5 plain requests and 90
	// streams a second, some hundred clients. Fewer replicas of the model, with as many slots each, do here.
	restartNodes    = 7
	restartReplicas = 3
	restartSlots    = 6
	restartModels   = 4
	modelSlots      = 32
	restartQueue    = 24
	restartRate     = 31.5
	streamRate      = 90
	restartClients  = 46

	restartRounds = 7
	// A round is as in the day: five rolling restarts, each of one node at a time, a second apart, that begin
	// 0.1 s one after the other.
	rollCount = 5
	rollGap   = time.Second
	rollStep  = 100 * time.Millisecond
	// downTime is the time between the end of a process and its start.
	downTime = 600 * time.Millisecond
	// settleTime lets all be calm for longer than stableWindowMs between rounds.
	settleTime = 3500 * time.Millisecond
	// exemptTime is the time after SIGTERM up to which a request may be cut at the end of the grace time.
	exemptTime = 3 * time.Second
)

// stop is one planned stop of a node.
type stop struct {
	entry     string
	at, ended time.Time
}

// restartOfAll stops and starts all nodes in turn, several times. No request that a node has passed on may lose its
// answer by the node's planned stop.
func restartOfAll(w *world, trouble bool) ([]string, error) {
	storeAddress, err := w.serve(w.store)
	if err != nil {
		return nil, err
	}
	w.configure(1)
	if err := w.addReplicas(service, restartReplicas, restartSlots, restartQueue); err != nil {
		return nil, err
	}
	if err := w.addReplicas(modelService, restartModels, modelSlots, restartQueue); err != nil {
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
	var clients sync.WaitGroup
	clients.Go(func() { w.runClients(ctx, claimPath, restartClients, restartRate, false, seen) })
	clients.Go(func() { w.runClients(ctx, streamPath, restartClients, streamRate, false, seen) })
	time.Sleep(settleTime)
	var stops []stop
	for range restartRounds {
		if trouble {
			stops = append(stops, w.restartRound()...)
		} else {
			time.Sleep(grace)
		}
		if err := w.awaitReady(10 * time.Second); err != nil {
			cancel()
			return nil, err
		}
		time.Sleep(settleTime)
	}
	cancel()
	clients.Wait()
	return w.judgeStops(stops, seen)
}

// restartRound sends SIGTERM to all nodes, one after the other, and starts each again after its end.
func (w *world) restartRound() []stop {
	stops := make([]stop, len(w.nodes))
	var rounds sync.WaitGroup
	began := time.Now()
	for i, n := range w.nodes {
		due := time.Duration(i/rollCount)*rollGap + time.Duration(i%rollCount)*rollStep
		time.Sleep(time.Until(began.Add(due)))
		stops[i] = stop{entry: n.entry, at: time.Now()}
		ended := n.signal(syscall.SIGTERM)
		w.note("SIGTERM to %s (%s)", n.name, n.entry)
		rounds.Go(func() {
			select {
			case <-ended:
				w.note("%s has ended by itself", n.name)
			case <-time.After(grace):
				<-n.signal(syscall.SIGKILL)
				w.note("%s was killed at the end of its grace time", n.name)
			}
			stops[i].ended = time.Now()
			time.Sleep(downTime)
			if err := n.start(); err != nil {
				w.note("start of %s: %v", n.name, err)
			}
		})
	}
	rounds.Wait()
	return stops
}

// judgeStops returns the requests that were passed on to a replica by a node that was stopping, were sent later than
// exemptTime after its SIGTERM, and whose connection ended without a complete answer before the deadline and the
// route's timeout.
func (w *world) judgeStops(stops []stop, seen *outcomes) ([]string, error) {
	ran := make(map[string]string)
	for _, run := range w.runs.All() {
		ran[run.ID] = run.Replica
		w.note("replica %s runs %s, %.3f s after the start", run.Replica, run.ID, run.At.Sub(w.began).Seconds())
	}
	var broken []string
	counts := make(map[string]int)
	for _, o := range seen.list {
		counts[fmt.Sprintf("status %d", o.status)]++
		if o.sentAt.IsZero() || o.answered() || errors.Is(o.err, os.ErrDeadlineExceeded) {
			continue
		}
		replica, passedOn := ran[o.id]
		for _, s := range stops {
			after := o.sentAt.Sub(s.at)
			if o.path != claimPath || o.address != s.entry || after <= exemptTime || after > grace+time.Second || !passedOn || o.endedAt.Sub(o.sentAt) >= timeout {
				continue
			}
			broken = append(broken, fmt.Sprintf("request %s, sent %.3f s after SIGTERM of %s, ran at %s, and the connection ended without an answer %.0f ms later",
				o.id, after.Seconds(), o.address, replica, o.endedAt.Sub(o.sentAt).Seconds()*1e3))
		}
	}
	w.note("attempts by outcome (status 0: no answer): %v", counts)
	if counts["status 200"] == 0 {
		return nil, errors.New("nothing was served")
	}
	return broken, nil
}
