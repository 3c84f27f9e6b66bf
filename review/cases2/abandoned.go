package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	abandonedNodes    = 7
	abandonedReplicas = 4
	// brittleBears is the refusals a second that the replicas say they bear. They have room for all
	// calls and refuse none.
	brittleBears = 20
	// shortFreezes is the number of freezes, one node after the other, shortFreeze the length of each, and
	// betweenFreezes the time between two.
	shortFreezes   = 10
	shortFreeze    = 1300 * time.Millisecond
	betweenFreezes = 3500 * time.Millisecond
	firstFreeze    = 6 * time.Second
	// leaveBefore is how long before a freeze callers begin to leave early: a leaveShare of them leave within
	// leaveWithin. They stop with the freeze.
	leaveBefore = 1500 * time.Millisecond
	leaveWithin = 1500 * time.Millisecond
	leaveShare  = 0.3
	// abandonedEvery is the time between two streams, and abandonedTraffic how long they are sent.
	abandonedEvery   = 33 * time.Millisecond
	abandonedTraffic = firstFreeze + shortFreezes*(shortFreeze+betweenFreezes)
	// quietTime is the time after the end of all calls in which processor time is still measured.
	quietTime = 10 * time.Second
	// busySpan is a time in which a process that has a few calls a second may not use up the processor.
	busySpan = 3
	// busyTicks of 10 ms are 0.9 of a core's time in a second.
	busyTicks = 90
)

// runAbandoned freezes one node after the other for a moment while some callers leave early and the replicas say
// that they are brittle. No process may keep the processor for good.
func runAbandoned(d *deployment) (bool, error) {
	d.configure(1)
	for i := range abandonedReplicas {
		r, err := d.serveHere(fmt.Sprintf("i-%d", i+1), modelService, "v1", streamEvents)
		if err != nil {
			return false, err
		}
		r.brittle.Store(brittleBears)
	}
	if err := d.startNodes(abandonedNodes); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	if withTrouble() {
		go d.freezeInTurn()
	}
	stop := make(chan struct{})
	var measuring sync.WaitGroup
	busiest := 0
	measuring.Go(func() { busiest = d.measure(stop) })
	whole := d.sendAbandoned(began)
	d.recordf("all calls have ended, %d streams were whole", whole)
	time.Sleep(quietTime)
	close(stop)
	measuring.Wait()
	if whole == 0 {
		return false, errors.New("no stream was whole")
	}
	d.recordf("the longest time in which a process used 0.9 of a core or more: %d s", busiest)
	return busiest >= busySpan, nil
}

// freezeInTurn freezes one node after the other.
func (d *deployment) freezeInTurn() {
	time.Sleep(firstFreeze)
	for i := range shortFreezes {
		n := d.nodes[i%len(d.nodes)]
		n.signal(syscall.SIGSTOP)
		d.recordf("%s freezes", n.name)
		time.Sleep(shortFreeze)
		n.signal(syscall.SIGCONT)
		d.recordf("%s goes on", n.name)
		time.Sleep(betweenFreezes)
	}
}

// callersLeave reports whether some callers leave early at the time since the beginning.
func callersLeave(since time.Duration) bool {
	const period = shortFreeze + betweenFreezes
	into := (since - firstFreeze + leaveBefore) % period
	return withTrouble() && since >= firstFreeze-leaveBefore && into < leaveBefore+shortFreeze
}

// sendAbandoned sends streams to all nodes in turn and returns the number of whole ones.
func (d *deployment) sendAbandoned(began time.Time) int {
	var mu sync.Mutex
	whole := 0
	var sending sync.WaitGroup
	for i := 0; time.Since(began) < abandonedTraffic; i++ {
		leaves := time.Duration(0)
		if callersLeave(time.Since(began)) && rand.Float64() < leaveShare {
			leaves = time.Duration(rand.Int64N(int64(leaveWithin)))
		}
		n := d.nodes[i%len(d.nodes)]
		sending.Go(func() {
			t := sendAndLeave(n, streamPath+"s", time.Now().Add(streamDeadline), 0, "", leaves)
			d.recordf("%s", t)
			if _, _, ended := eventsOf(t.text); ended {
				mu.Lock()
				defer mu.Unlock()
				whole++
			}
		})
		time.Sleep(abandonedEvery)
	}
	sending.Wait()
	return whole
}

// measure records the processor time of all nodes each second until stop is closed, and returns the most seconds
// in a row in which a node used nearly all of a core.
func (d *deployment) measure(stop <-chan struct{}) int {
	last, inRow := make([]int, len(d.nodes)), make([]int, len(d.nodes))
	longest := 0
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for first := true; ; first = false {
		var used []string
		for i, n := range d.nodes {
			now := cpuTicks(n.process.Process.Pid)
			ticks := now - last[i]
			last[i] = now
			if inRow[i]++; ticks < busyTicks || first {
				inRow[i] = 0
			}
			longest = max(longest, inRow[i])
			used = append(used, fmt.Sprintf("%s %d", n.name, ticks))
		}
		if !first {
			d.recordf("processor time in the last second, in hundredths: %s", strings.Join(used, ", "))
		}
		select {
		case <-stop:
			return longest
		case <-ticker.C:
		}
	}
}

// cpuTicks returns the processor time that the process has used, in ticks of 10 ms.
func cpuTicks(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	// Fields that are no numbers count as no time.
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return user + system
}
