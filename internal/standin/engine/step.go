package engine

import (
	"slices"
	"strings"
	"time"

	"galenatrestle/internal/openai"
	"galenatrestle/internal/standin/fault"
)

const prefixBlockWords = openai.PrefixBlockWords

// tokensBeforeCrash is how many tokens a request that crashes the engine gives
// first, unless its answer is shorter.
const tokensBeforeCrash = 3

// stepLoop runs while anything is in the engine: one step gives one token to
// every generation whose prompt has been read.
func (e *Engine) stepLoop() {
	for {
		pause, more := e.plan()
		if !more || !e.sleep(pause) {
			return
		}
		if e.faults.Wait(fault.Hang, e.poke) {
			e.step()
		}
	}
}

// sleep returns true after the pause, or false as soon as nothing is left to
// step.
func (e *Engine) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-e.poke:
		}
		e.mu.Lock()
		resting := e.restLocked()
		e.mu.Unlock()
		if resting {
			return false
		}
	}
}

// restLocked notes that the step loop ends where nothing is in the batch.
func (e *Engine) restLocked() bool {
	if len(e.batch) > 0 {
		return false
	}
	e.stepping = false
	return true
}

// plan returns the time until the next step, and false once nothing is left.
func (e *Engine) plan() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restLocked() {
		return 0, false
	}
	now := time.Now()
	ready := 0
	earliest := e.batch[0].readyAt
	for _, g := range e.batch {
		if !g.readyAt.After(now) {
			ready++
		}
		if g.readyAt.Before(earliest) {
			earliest = g.readyAt
		}
	}
	crowding := max(1, float64(ready)/float64(e.opts.Slots))
	interval := time.Duration(float64(e.opts.TokenInterval) * crowding * e.slowness())
	if ready == 0 {
		return earliest.Sub(now) + interval, true
	}
	return interval, true
}

// slowness returns the straggler's factor, 1 where it is off.
func (e *Engine) slowness() float64 {
	straggler, on := e.faults.Get(fault.Straggler)
	if !on {
		return 1
	}
	return straggler.Factor
}

// step gives one token to each generation that is ready.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashesLocked() {
		e.crashLocked()
		return
	}
	now := time.Now()
	for _, g := range slices.Clone(e.batch) {
		if g.readyAt.After(now) {
			continue
		}
		e.giveLocked(g)
	}
	e.admitLocked()
	e.recordLoadLocked()
}

func (e *Engine) giveLocked(g *generation) {
	if g.remaining() > 0 {
		g.given++
	}
	if g.given == 1 {
		e.runs.FirstToken(g.sequence)
	}
	if g.remaining() <= 0 {
		e.endLocked(g, stateDone)
		return
	}
	g.wake()
}

// crashesLocked says whether a running prompt is one that crashes the engine
// now. The switch for a single crash goes off with it.
func (e *Engine) crashesLocked() bool {
	if crash, on := e.faults.Get(fault.CrashOnPrompt); on && e.runsPromptLocked(crash.Text) {
		return true
	}
	crash, on := e.faults.Get(fault.CrashMidAnswer)
	if !on || !e.runsPromptLocked(crash.Text) {
		return false
	}
	e.faults.Take(fault.CrashMidAnswer)
	return true
}

func (e *Engine) runsPromptLocked(text string) bool {
	now := time.Now()
	return slices.ContainsFunc(e.batch, func(g *generation) bool {
		begun := !g.readyAt.After(now)
		far := g.given >= tokensBeforeCrash || g.remaining() <= 1
		return begun && far && strings.Contains(g.prompt, text)
	})
}

// crashLocked breaks all that runs or waits and forgets the cache.
func (e *Engine) crashLocked() {
	for _, g := range slices.Concat(e.batch, []*generation(e.waiting)) {
		e.endLocked(g, stateCrashed)
	}
	e.cache.clear()
	e.prefillUntil = time.Time{}
	e.downUntil = time.Now().Add(e.opts.RestartTime)
	e.recordLoadLocked()
}
