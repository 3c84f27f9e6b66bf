package fleetsim

import (
	"slices"
	"time"

	"galenatrestle/internal/placement"
)

// EngineModel is how one kind of engine works.
type EngineModel struct {
	// TokensPerMS is the prompt tokens read in a millisecond, Chunk the most that are
	// read in one step.
	TokensPerMS float64
	Chunk       int
	// StepMS is the time of a step without reading, PerRequestMS what each running
	// request adds to it.
	StepMS       float64
	PerRequestMS float64
	// Slots is the requests that run at once. MemoryTokens is what nodes are told of a
	// replica's memory; the model itself forgets nothing.
	Slots        int
	MemoryTokens int
	// TokensPerEvent is the tokens that one event of an answer holds.
	TokensPerEvent int
}

// engine is one replica.
type engine struct {
	model EngineModel
	id    string
	// freeAt is when the step that is being made ends.
	freeAt time.Duration
	// jobs are those that were sent here, in the order of their rank and arrival.
	jobs []*job
	// cache holds the parts that were read here.
	cache map[uint64]bool
	// down is until when the engine answers nothing.
	down time.Duration
	// readTokens counts the prompt tokens that were read, readAgain those of shared
	// parts that some engine had read before.
	readTokens int
	readAgain  int
	// copied counts the tokens that were copied from other engines.
	copied int
	// arrivals counts the jobs that were sent here.
	arrivals int
	// arrivedAt is when the jobs were sent here.
	arrivedAt []time.Duration
	// timesSlower is by what the time of a step is multiplied.
	timesSlower func(now time.Duration) float64
}

// add takes a job. from is the engine from which it copies shared parts, or nil.
func (e *engine) add(j *job, from *engine, readBefore map[uint64]bool) {
	e.arrivals++
	cached := e.holds(j.shared)
	if from != nil {
		own := cached
		cached = max(cached, from.holds(j.shared))
		for _, part := range j.shared[own:cached] {
			e.copied += part.Tokens
		}
	}
	j.toRead = j.promptTokens
	for i, part := range j.shared {
		if i < cached {
			j.toRead -= part.Tokens
			continue
		}
		if readBefore[part.ID] {
			e.readAgain += part.Tokens
		}
	}
	e.readTokens += j.toRead
	e.jobs = append(e.jobs, j)
	slices.SortStableFunc(e.jobs, func(a, b *job) int { return a.rank - b.rank })
}

// holds is the number of leading parts that the engine has read.
func (e *engine) holds(parts []placement.PromptPart) int {
	for i, part := range parts {
		if !e.cache[part.ID] {
			return i
		}
	}
	return len(parts)
}

// step makes one step, if the last one is over: some of the prompts that wait are
// read, and each running answer gets a token.
func (e *engine) step(now time.Duration, readBefore map[uint64]bool) {
	if now < e.freeAt || now < e.down || len(e.jobs) == 0 {
		return
	}
	active := e.jobs[:min(len(e.jobs), e.model.Slots)]
	running := 0
	read := 0
	for _, j := range active {
		if j.toRead > 0 {
			part := min(j.toRead, e.model.Chunk-read)
			j.toRead -= part
			read += part
			j.justRead = j.toRead == 0 && part > 0
			continue
		}
		running++
	}
	took := e.model.StepMS + e.model.PerRequestMS*float64(running) + float64(read)/e.model.TokensPerMS
	e.freeAt = now + time.Duration(took*e.timesSlower(now)*float64(time.Millisecond))
	for _, j := range active {
		if j.toRead > 0 {
			continue
		}
		if j.justRead {
			j.justRead = false
			for _, part := range j.shared {
				e.cache[part.ID] = true
				readBefore[part.ID] = true
			}
		}
		j.token(e.freeAt, e.model.TokensPerEvent)
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool { return j.over(e.freeAt) })
}

// crash loses all jobs and the cache until the time.
func (e *engine) crash(until time.Duration) {
	for _, j := range e.jobs {
		j.broken = true
	}
	e.jobs = nil
	e.cache = make(map[uint64]bool)
	e.down = until
}
