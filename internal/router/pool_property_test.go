package router

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"galenatrestle/internal/config"
)

// model makes arbitrary calls to a pool, tracks which requests should wait or run, and compares the
// pool with that after each call.
type model struct {
	t            *rapid.T
	pool         *Pool
	now          time.Time
	replicaNames []string
	leaving      map[string]bool
	waiting      map[string]Request
	running      map[string]string
	ended        map[string]string
	requests     map[string]Request
	submitted    int
}

func propertyClasses() []config.Class {
	second := config.Duration(time.Second)
	return []config.Class{
		{Name: "t0", Tier: 0, TargetAnswer: 5 * second, GiveUpAfter: 10 * second, QueueBound: 6},
		{Name: "t1", Tier: 1, TargetAnswer: 20 * second, GiveUpAfter: 40 * second, QueueBound: 6},
		{Name: "t1b", Tier: 1, TargetAnswer: 10 * second, GiveUpAfter: 40 * second, MinShare: 0.3, QueueBound: 6},
		{Name: "t5", Tier: 5, TargetAnswer: 60 * second, GiveUpAfter: 120 * second, MinShare: 0.2, QueueBound: 9},
	}
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: start, leaving: make(map[string]bool), waiting: make(map[string]Request),
		running: make(map[string]string), ended: make(map[string]string), requests: make(map[string]Request),
	}
	var replicas []Replica
	for i := range rapid.IntRange(1, 5).Draw(t, "replicas") {
		name := "r" + strconv.Itoa(i)
		m.replicaNames = append(m.replicaNames, name)
		replicas = append(replicas, Replica{Name: name, Slots: rapid.IntRange(1, 4).Draw(t, "slots")})
	}
	m.pool = NewPool(Options{
		Classes: propertyClasses(), Replicas: replicas, MaxWaiting: 14,
		Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	})
	return m
}

func (m *model) submitNew(t *rapid.T) {
	class := rapid.SampledFrom(propertyClasses()).Draw(t, "class")
	m.submitted++
	m.submit(Request{
		ID: strconv.Itoa(m.submitted), Class: class.Name, Tier: class.Tier, Attempt: 1, Arrived: m.now,
		Workspace:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		AnswerBy:     m.now.Add(class.TargetAnswer.Std()),
		GiveUpAt:     m.now.Add(class.GiveUpAfter.Std()),
		PromptTokens: rapid.IntRange(1, 5000).Draw(t, "prompt"),
	})
}

func (m *model) burst(t *rapid.T) {
	for range rapid.IntRange(5, 25).Draw(t, "burst") {
		m.submitNew(t)
	}
}

func (m *model) finish(t *rapid.T) {
	id := m.drawID(t, m.running)
	if id == "" {
		return
	}
	m.pool.RecordFirstToken(m.now, id)
	m.pool.RecordTokens(m.now, id, rapid.IntRange(1, 3000).Draw(t, "tokens"))
	m.finishAs(id, Result(rapid.IntRange(0, 4).Draw(t, "result")))
	m.decide()
}

// finishAs retries an attempt that did not run or crashed.
func (m *model) finishAs(id string, result Result) {
	m.pool.Finish(m.now, id, result)
	replica := m.running[id]
	delete(m.running, id)
	r := m.requests[id]
	if (result == ResultNotRun || result == ResultCrashed) && r.Attempt < 3 && r.GiveUpAt.After(m.now) {
		r.Attempt++
		r.Avoid = append(slices.Clone(r.Avoid), replica)
		m.submit(r)
		return
	}
	m.recordEnd(id, "finished")
}

func (m *model) drawID(t *rapid.T, from map[string]string) string {
	if len(from) == 0 {
		return ""
	}
	ids := make([]string, 0, len(from))
	for id := range from {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *model) crash(t *rapid.T) {
	name := rapid.SampledFrom(m.replicaNames).Draw(t, "replica")
	var affected []string
	for id, replica := range m.running {
		if replica == name {
			affected = append(affected, id)
		}
	}
	slices.Sort(affected)
	for _, id := range affected {
		m.finishAs(id, ResultCrashed)
	}
	m.decide()
}

func (m *model) cancel(t *rapid.T) {
	ids := make(map[string]string)
	for id := range m.waiting {
		ids[id] = ""
	}
	if id := m.drawID(t, ids); id != "" {
		m.pool.Cancel(m.now, id)
		delete(m.waiting, id)
		m.recordEnd(id, "cancelled")
		m.decide()
	}
}

func (m *model) setLeaving(t *rapid.T) {
	name := rapid.SampledFrom(m.replicaNames).Draw(t, "replica")
	m.leaving[name] = !m.leaving[name]
	m.pool.SetLeaving(m.now, name, m.leaving[name])
	m.decide()
}

func (m *model) setAllowance(t *rapid.T) {
	name := rapid.SampledFrom(m.replicaNames).Draw(t, "replica")
	m.pool.SetAllowance(name, rapid.IntRange(-1, 3).Draw(t, "slots"))
	m.decide()
}

func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
	m.decide()
}

func (m *model) drain() {
	for len(m.running) > 0 || len(m.waiting) > 0 {
		for id := range m.running {
			m.finishAs(id, ResultDone)
		}
		m.now = m.now.Add(time.Minute)
		m.decide()
	}
	for id := range m.requests {
		if _, ok := m.ended[id]; !ok {
			m.t.Fatalf("%s never ended", id)
		}
	}
}

// Under arbitrary calls, each request must end exactly once and the pool's counts must match the model.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submitNew, "burst": m.burst, "finish": m.finish, "crash": m.crash,
			"cancel": m.cancel, "leaving": m.setLeaving, "allowance": m.setAllowance, "pass": m.advanceTime,
		})
		m.drain()
	})
}
