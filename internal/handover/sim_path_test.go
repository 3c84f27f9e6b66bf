package handover

import (
	"context"
	"time"

	"galenatrestle/internal/refusal"
)

// simAnswer is what a caller got.
type simAnswer struct {
	id string
	// outcome is "answered", "not-run", "unknown" or "open".
	outcome string
	text    string
	waited  time.Duration
}

// handle is the data path: the gate, the claim, the run.
func (n *simNode) handle(ctx context.Context, id, key string, length time.Duration, hops int) simAnswer {
	life, ok := n.alive()
	gate := n.parts().gate
	if !ok || hops > 4 {
		return simAnswer{id: id, outcome: "not-run"}
	}
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(life, cancel)
	for {
		verdict, done, err := gate.Await(ctx, simUpstream, "ws", hops > 0)
		if err != nil {
			return simAnswer{id: id, outcome: string(refusal.From(err).Outcome), text: err.Error()}
		}
		if verdict.Kind == Relay {
			waited := time.Since(began)
			answer := n.relay(ctx, id, key, length, hops)
			answer.waited += waited
			if answer.outcome != "not-run" || ctx.Err() != nil {
				return answer
			}
			sleep(ctx, 20*time.Millisecond)
			continue
		}
		waited := time.Since(began)
		answer, again := n.run(life, id, key, length, done)
		answer.waited = waited
		if !again {
			return answer
		}
		if ctx.Err() != nil {
			return simAnswer{id: id, outcome: "not-run"}
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

func (n *simNode) relay(ctx context.Context, id, key string, length time.Duration, hops int) simAnswer {
	for _, other := range n.side.other.nodes {
		if _, ok := other.alive(); ok {
			return other.handle(ctx, id, key, length, hops+1)
		}
	}
	return simAnswer{id: id, outcome: "not-run"}
}

func (n *simNode) run(life context.Context, id, key string, length time.Duration, done func()) (simAnswer, bool) {
	defer done()
	if key != "" {
		state, here := n.side.ledger.claim(key)
		if !here {
			return simAnswer{}, true
		}
		if state == "open" {
			return simAnswer{id: id, outcome: "open"}, false
		}
		if state != "" {
			return simAnswer{id: id, outcome: "answered", text: state}, false
		}
	}
	name := id
	if key != "" {
		name = key
	}
	run := n.side.world.truth.begin(name, n.side.name)
	time.Sleep(length)
	if life.Err() != nil {
		return simAnswer{id: id, outcome: "unknown"}, false
	}
	n.side.world.truth.end(run)
	if key != "" {
		n.side.ledger.settle(key, "result of "+key)
	}
	return simAnswer{id: id, outcome: "answered", text: "result of " + name}, false
}
