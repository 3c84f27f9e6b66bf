package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

const (
	// upstream is the name of the engines' upstream.
	upstream = "engine"
	// tick is the step of the simulation.
	tick = time.Millisecond
	// askedAtOnce is the nodes that one asks in an exchange.
	askedAtOnce = 3
	// returnShare is the part of its time left after which a caller does not wait to
	// come back.
	returnShare = 1.0 / 3
)

// epoch is the simulation's start, as the decisions see it.
var epoch = time.Unix(1_000_000, 0)

// fleet is a scenario being played.
type fleet struct {
	scenario   *Scenario
	random     *rand.Rand
	engines    []*engine
	byID       map[string]*engine
	nodes      []*node
	calls      []*call
	returns    []comeback
	readBefore map[uint64]bool
	jobs       []*job
	// issuer gives the permits of engines that name rates.
	issuer    *ratelimit.Issuer
	zoneTally ZoneTally
	// sums are those of the hubs that may still be told, oldest first.
	sums []sums
	// workspaces are the sources of calls where the scenario has workspaces.
	workspaces []workspace
	// toldReturns are the returns that the hubs have learned.
	toldReturns []toldReturn
}

// comeback is a refused call that is sent once more.
type comeback struct {
	at   time.Duration
	call *call
}

// Play plays the scenario to its end.
func Play(s Scenario) *Report {
	f := newFleet(&s)
	f.play()
	return f.report()
}

func (f *fleet) play() {
	for now := time.Duration(0); now < f.scenario.Length; now += tick {
		f.crash(now)
		f.loseEngines(now)
		f.limit(now)
		f.arrive(now)
		f.comeBack(now)
		for _, e := range f.engines {
			e.step(now, f.readBefore)
		}
		f.listen(now)
		f.exchange(now)
	}
}

func newFleet(s *Scenario) *fleet {
	f := &fleet{
		scenario: s, random: rand.New(rand.NewPCG(s.Seed, 1)), byID: make(map[string]*engine),
		readBefore: make(map[uint64]bool), issuer: ratelimit.NewIssuer(),
	}
	for i := range s.Engines {
		e := &engine{model: s.Model, id: fmt.Sprintf("i-%02d-%d", i, s.Seed), cache: make(map[uint64]bool)}
		e.timesSlower = func(now time.Duration) float64 { return s.Speeds.timesSlower(s.Seed, i, now) }
		f.engines = append(f.engines, e)
		f.byID[e.id] = e
	}
	replicas := replica.NewSet()
	replicas.Update(listing(s, f.engines), 1, 1)
	f.nodes = newNodes(s, replicas)
	f.newWorkspaces()
	return f
}

// crash takes engines away as the scenario says.
func (f *fleet) crash(now time.Duration) {
	for _, c := range f.scenario.Crashes {
		if c.At != now {
			continue
		}
		for _, i := range f.random.Perm(len(f.engines))[:c.Engines] {
			f.engines[i].crash(now + c.For)
		}
	}
}

// arrive draws the calls of one tick.
func (f *fleet) arrive(now time.Duration) {
	if len(f.workspaces) > 0 {
		f.arriveByWorkspace(now)
		return
	}
	for i := range f.scenario.Classes {
		class := &f.scenario.Classes[i]
		perTick := class.PerSecond * f.scenario.times(class.Name, now) * f.scenario.Zones.load(now) * tick.Seconds()
		for ; perTick > 0; perTick-- {
			if f.random.Float64() < perTick {
				f.call(now, i, f.random, 0)
			}
		}
	}
}

// call draws a call of the class, and sends it.
func (f *fleet) call(now time.Duration, i int, random *rand.Rand, workspace int) {
	class := &f.scenario.Classes[i]
	c := &call{
		class: class, workspace: workspace, arrived: now, deadline: now + class.Patience,
		ownTokens:    length(random, class.OwnTokens, class.Spread),
		answerTokens: length(random, class.AnswerTokens, class.Spread),
		id:           uint64(len(f.calls) + 1),
	}
	if class.Sessions > 0 {
		c.session = uint64(i+1)<<32 | f.session(now, class, random)
	}
	f.calls = append(f.calls, c)
	f.send(now, c)
}

// comeBack sends the refused calls once more whose time has come.
func (f *fleet) comeBack(now time.Duration) {
	waiting := f.returns[:0]
	for _, r := range f.returns {
		if r.at > now {
			waiting = append(waiting, r)
			continue
		}
		f.send(now, r.call)
	}
	f.returns = waiting
}

// send has a node decide on the call.
func (f *fleet) send(now time.Duration, c *call) {
	n := f.entry(c)
	n.arrive(epoch.Add(now), c)
	request := f.request(c)
	at := epoch.Add(now)
	standing := n.standing(at, c)
	request.Rank, request.Yields = f.rank(c, standing), standing.Above
	for {
		attempt := n.placer.Choose(at, upstream, &request)
		if attempt == nil {
			f.refuse(now, c, overload.Decision{RetryAfter: limitedRetryAfter})
			return
		}
		if verdict := n.admit(at, c, request.Rank, standing, c.deadline-now, &attempt.Choice); verdict.Refused() && !f.scenario.Ungated {
			attempt.End(at, placement.Cancelled)
			f.refuse(now, c, verdict)
			return
		}
		if f.permitted(n, at, attempt) {
			f.travel(n, c, attempt)
			f.start(now, c, &request, attempt)
			return
		}
		attempt.End(at, placement.Cancelled)
	}
}

// request is the call as the decision sees it.
func (f *fleet) request(c *call) placement.Request {
	r := placement.Request{
		Class: c.class.Name, Rank: c.class.Rank,
		PromptTokens: c.ownTokens, AnswerTokens: c.answerTokens,
		MemoryTokens: f.scenario.Model.MemoryTokens, CanCopyCache: f.scenario.Copies, Bytes: f.requestBytes(c),
		Objective: c.class.Objective, MaxPause: c.class.MaxPause,
	}
	if common := c.class.Common; common > 0 {
		// Sessions share the first part of their prompts with many others.
		id := c.session>>32<<32 | uint64(1)<<31 | c.session%uint64(common)
		r.Shared = append(r.Shared, placement.PromptPart{ID: id, Tokens: c.class.CommonTokens})
		r.PromptTokens += c.class.CommonTokens
	}
	if c.session != 0 {
		r.Shared = append(r.Shared, placement.PromptPart{ID: c.session, Tokens: c.class.SharedTokens})
		r.PromptTokens += c.class.SharedTokens
	}
	return r
}

// refuse has the caller come back once, if there is time.
func (f *fleet) refuse(now time.Duration, c *call, v overload.Decision) {
	left := c.deadline - now
	if c.returned || float64(v.RetryAfter) > returnShare*float64(left) {
		c.settle(refused)
		return
	}
	c.returned = true
	f.returns = append(f.returns, comeback{now + v.RetryAfter, c})
}

// start sends the call to the engine that was chosen.
func (f *fleet) start(now time.Duration, c *call, r *placement.Request, a *placement.Attempt) {
	j := &job{call: c, attempt: a, rank: r.Rank, promptTokens: r.PromptTokens, shared: r.Shared, answerTokens: c.answerTokens}
	e := f.byID[a.Replica.ID]
	f.jobs = append(f.jobs, j)
	if now < e.down {
		j.broken = true
		return
	}
	e.add(j, f.byID[a.CopyFrom], f.readBefore)
	e.arrivedAt = append(e.arrivedAt, now)
}

// listen tells the nodes what came of their attempts.
func (f *fleet) listen(now time.Duration) {
	running := f.jobs[:0]
	at := epoch.Add(now)
	for _, j := range f.jobs {
		switch {
		case j.broken:
			j.attempt.End(at, placement.Interrupted)
			j.call.settle(failed)
			continue
		case now > j.call.deadline:
			j.attempt.End(at, placement.Cancelled)
			j.call.settle(failed)
			continue
		case j.firstAt > 0 && j.firstAt <= now && !j.heard:
			j.heard = true
			j.attempt.AnswerStarted(at)
		}
		if f.scenario.Speeds.Heard {
			j.hear(now)
		}
		if j.whole() && j.lastAt <= now {
			j.attempt.CountAnswer(j.answerTokens * answerBytesPerToken)
			j.attempt.End(at, placement.Answered)
			j.call.settle(j.call.judge(j))
			continue
		}
		running = append(running, j)
	}
	f.jobs = running
}

// exchange lets each node tell some others of its loads and placements, in turns.
func (f *fleet) exchange(now time.Duration) {
	every := f.scenario.NewsEvery
	if !f.sample(now) {
		return
	}
	if f.scenario.Hubs {
		f.addUp(now)
	}
	for i, n := range f.nodes {
		if (now+every*time.Duration(i)/time.Duration(len(f.nodes)))%every >= tick {
			continue
		}
		if f.scenario.Hubs {
			f.tellSums(n, now)
			continue
		}
		at := epoch.Add(now)
		for _, k := range f.random.Perm(len(f.nodes))[:min(askedAtOnce, len(f.nodes))] {
			if other := f.nodes[k]; other != n && f.hears(n, other, now) {
				tell(n, other, len(f.nodes)-1, at)
				tell(other, n, len(f.nodes)-1, at)
			}
		}
	}
}

// tell gives one node's news to another.
func tell(from, to *node, alive int, at time.Time) {
	to.placer.SetPeerLoads(from.name, from.placer.Loads(at), false, alive, at)
	to.placer.SetPlacements(from.placer.Placements(at, time.Time{}), false, at)
	if to.sharing != nil {
		to.sharing.SetPeer(from.name, from.sharing.OwnUse(at), false, at)
	}
	tellReturns(from, to, at)
}

// report counts the calls that came early enough to end.
func (f *fleet) report() *Report {
	r := &Report{Classes: make(map[string]*Tally), Zones: f.zoneTally}
	for i := range f.scenario.Classes {
		r.Classes[f.scenario.Classes[i].Name] = &Tally{}
	}
	for _, c := range f.calls {
		if c.deadline < f.scenario.Length {
			r.Classes[c.class.Name].count(c.outcome)
			r.countWorkspace(c)
			r.countReturn(c)
		}
	}
	most, all := 0, 0
	for _, e := range f.engines {
		r.ReadTokens += e.readTokens / 1000
		r.ReadAgain += e.readAgain / 1000
		r.Copied += e.copied / 1000
		most, all = max(most, e.arrivals), all+e.arrivals
	}
	r.SlowedShare = f.slowedShare()
	r.Busiest = float64(most*len(f.engines)) / float64(max(all, 1))
	return r
}
