package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	silentNodes    = 3
	silentReplicas = 6
	// One replica after the other is silent for silenceLasts, the first after firstSilence and the next ones each
	// betweenSilences later.
	silences        = 6
	silenceLasts    = 1100 * time.Millisecond
	firstSilence    = 4 * time.Second
	betweenSilences = 2500 * time.Millisecond
	// silentEvery is the time between two streams, and silentTraffic how long they are sent.
	silentEvery   = 100 * time.Millisecond
	silentTraffic = firstSilence + silences*betweenSilences
)

// runSilent has one sound replica after the other fall silent for a moment, and go on. No event of a stream may
// come twice or be missing.
func runSilent(d *deployment) (bool, error) {
	d.configure(1)
	d.perWrite = 2
	var replicas []*replicaServer
	for i := range silentReplicas {
		r, err := d.serveHere(fmt.Sprintf("i-%d", i+1), modelService, "v1", streamEvents)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	if err := d.startNodes(silentNodes); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if withTrouble() {
		go d.silenceInTurn(replicas)
	}
	var mu sync.Mutex
	whole, wrong := 0, 0
	var sending sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < silentTraffic; i++ {
		n := d.nodes[i%len(d.nodes)]
		sending.Go(func() {
			t := send(n, streamPath+"s", time.Now().Add(streamDeadline), 0, "")
			ids, _, ended := eventsOf(t.text)
			first := firstWrong(ids)
			d.recordf("%s, first event that is not the next one: %d", t, first)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case t.status == http.StatusOK && first != 0:
				wrong++
			case ended && t.err == nil:
				whole++
			}
		})
		time.Sleep(silentEvery)
	}
	sending.Wait()
	d.recordf("%d streams were whole, in %d streams an event came twice or is missing", whole, wrong)
	if whole == 0 {
		return false, errors.New("no stream was whole")
	}
	return wrong > 0, nil
}

// silenceInTurn has one replica after the other be silent.
func (d *deployment) silenceInTurn(replicas []*replicaServer) {
	time.Sleep(firstSilence)
	for i := range silences {
		r := replicas[i%len(replicas)]
		until := time.Now().Add(silenceLasts)
		r.silentUntil.Store(&until)
		d.recordf("%s is silent for %s", r.id, silenceLasts)
		time.Sleep(betweenSilences)
	}
}

// firstWrong returns the first ID that is not one more than the ID before; zero: there is none.
func firstWrong(ids []int) int {
	for i, id := range ids {
		if id != i+1 {
			return id
		}
	}
	return 0
}
