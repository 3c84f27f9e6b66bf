package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"galenatrestle/internal/estimate"
	"galenatrestle/internal/router"
)

const (
	decisionRounds = 4000
	poolsForHeap   = 8
	estimatesMade  = 30
)

// Decisions measures one pool by its replicas: processor time of a request's
// decisions and memory.
func Decisions(fleet Fleet, replicas []int) ([]Slope, error) {
	base := Slope{
		Role: RoleDecisions, Against: "replicas of one model",
		Target: fleet.ReplicasPerRegion() / float64(fleet.Models),
	}
	cpu, memory := base, base
	cpu.Quantity, cpu.Unit = "processor time of a request", "s"
	memory.Quantity, memory.Unit = "heap of one pool", "B"
	for _, n := range replicas {
		memory.add(n, heapOf(func() []*router.Pool {
			pools := make([]*router.Pool, poolsForHeap)
			for i := range pools {
				pools[i] = newPool(fleet, n)
			}
			return pools
		})/poolsForHeap)
		cpu.add(n, decisionTime(newPool(fleet, n)).Seconds())
	}
	return fitAll(cpu, memory)
}

// Waiting measures the memory of waiting requests.
func Waiting(fleet Fleet, requests []int) ([]Slope, error) {
	memory := Slope{
		Role: RoleDecisions, Quantity: "heap of the waiting requests", Unit: "B",
		Against: "waiting requests", Target: float64(requests[len(requests)-1]),
	}
	for _, n := range requests {
		memory.add(n, heapOf(func() *router.Pool {
			pool := newPool(fleet, 1)
			for i := range n {
				submit(pool, i, start)
			}
			return pool
		}))
	}
	return fitAll(memory)
}

// Estimates measures the length estimates by the workspaces seen.
func Estimates(fleet Fleet, workspaces []int) ([]Slope, error) {
	memory := Slope{
		Role: RoleDecisions, Quantity: "heap of the length estimates of one model", Unit: "B",
		Against: "workspaces seen", Target: estimate.DefaultMaxSketches,
	}
	for _, n := range workspaces {
		memory.add(n, heapOf(func() *estimate.Lengths {
			lengths := estimate.NewLengths(n)
			for i := range n {
				for j := range estimatesMade {
					lengths.Observe(start, className(0), workspaceName(i), 20+37*j)
				}
			}
			return lengths
		}))
	}
	return fitAll(memory)
}

// start is the time at which pure code begins.
var start = time.UnixMilli(1_800_000_000_000)

func newPool(fleet Fleet, replicas int) *router.Pool {
	d := document(fleet, 1, 0)
	options := router.Options{Upstream: modelName(0), Classes: d.Classes, Rand: rand.New(rand.NewPCG(1, 2))}
	for i := range replicas {
		options.Replicas = append(options.Replicas, router.Replica{
			Name: fmt.Sprintf("replica-%d", i), Address: fmt.Sprintf("10.0.%d.1:8000", i), Slots: slotsPerReplica,
		})
	}
	return router.NewPool(options)
}

func submit(pool *router.Pool, i int, now time.Time) {
	refused := pool.Submit(now, router.Request{
		ID: fmt.Sprintf("vm-000.%032x", i), Workspace: workspaceName(i % 1000), Class: className(0), Model: modelName(0),
		Arrived: now, AnswerBy: now.Add(10 * time.Second), GiveUpAt: now.Add(20 * time.Second),
		PromptTokens: 300, Attempt: 1, PrefixHashes: []uint64{uint64(i % 80)},
	})
	if refused != nil {
		panic(refused)
	}
}

// decisionTime is what a pool spends on one request, from its arrival to its
// end, with tokens told 16 times.
func decisionTime(pool *router.Pool) time.Duration {
	now := start
	used := cpuOf(func() {
		for i := range decisionRounds {
			now = now.Add(time.Millisecond)
			submit(pool, i, now)
			events := pool.Decide(now)
			for _, event := range events {
				serve(pool, event.ID, now)
			}
		}
	})
	return used / decisionRounds
}

func serve(pool *router.Pool, id string, now time.Time) {
	pool.RecordFirstToken(now, id)
	for range 16 {
		pool.RecordTokens(now, id, 28)
	}
	pool.Finish(now, id, router.ResultDone)
}
