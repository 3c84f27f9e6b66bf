package faultrun

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/embedded"
	"galenatrestle/internal/load"
)

// Names of what is called.
const (
	model       = "trestle-llm"
	ledger      = "member-ledger"
	claimsPath  = "/claims"
	poisonText  = "poison"
	poisonClass = "counter"
)

// flow is one kind of request with its mean rate.
type flow struct {
	name, key, class string
	perSecond        float64
	whole            bool
	// tokens is the most that are asked for.
	tokens int
	claim  bool
}

// flows are the mix at usual load.
var flows = []flow{
	{name: "counter", key: embedded.PrairieKey, class: "counter", perSecond: 25, tokens: 40},
	{name: "counter-whole", key: embedded.PrairieKey, class: "counter", perSecond: 10, tokens: 40, whole: true},
	{name: "handheld", key: embedded.TabKey, class: "handheld", perSecond: 15, tokens: 30},
	{name: "split", key: embedded.TabKey, class: "split", perSecond: 12, tokens: 90, whole: true},
	{name: "review", key: embedded.PrairieKey, class: "review", perSecond: 12, tokens: 150},
	{name: "claim", key: embedded.PrairieKey, class: "counter", perSecond: 12, claim: true},
	{name: "settlement", key: embedded.TabKey, class: "handheld", perSecond: 6, claim: true},
}

// Bounds of what callers do.
const (
	// crowdShare is the part of schedules with crowdFactor times the chats.
	crowdShare, crowdFactor = 0.25, 3
	leaveShare              = 0.08
	resumeShare             = 0.7
	resendShare             = 0.2
	longestStay             = 200 * time.Millisecond
	longestPause            = 700 * time.Millisecond
	poisonOffers            = 4
	mostCopies              = 3
	mostRepeats             = 3
)

func drawOffers(random *rand.Rand, o Options, poison bool) []Offer {
	factor := 1.0
	if random.Float64() < crowdShare {
		factor = crowdFactor
	}
	var offers []Offer
	for _, f := range flows {
		if !f.claim {
			f.perSecond *= factor
		}
		offers = append(offers, f.draw(random, o)...)
	}
	if poison {
		offers = append(offers, drawPoison(random, o)...)
	}
	slices.SortStableFunc(offers, func(a, b Offer) int { return cmp.Compare(a.At, b.At) })
	return offers
}

// draw draws a Poisson process of requests.
func (f flow) draw(random *rand.Rand, o Options) []Offer {
	var offers []Offer
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / f.perSecond * float64(time.Second))
		if at >= o.For {
			return offers
		}
		offers = append(offers, f.offer(random, fmt.Sprintf("%s-%d", f.name, len(offers)), at))
	}
}

func (f flow) offer(random *rand.Rand, name string, at time.Duration) Offer {
	offer := Offer{Copies: 1, Pause: time.Duration(random.Int64N(int64(longestPause)))}
	stream := &load.Stream{Name: f.name, Key: f.key, Class: f.class, Whole: f.whole, Model: model}
	offer.Request = load.Request{Name: name, At: at, Stream: stream}
	if f.claim {
		stream.Model = ""
		stream.Service = &load.Service{Upstream: ledger, Method: "POST", Path: claimsPath, Unrepeatable: true}
		offer.Prompt = fmt.Sprintf(`{"call":%q}`, name)
		offer.IdempotencyKey = name
		offer.Copies = 1 + random.IntN(mostCopies)
		offer.Repeats = random.IntN(mostRepeats)
		return offer
	}
	offer.Prompt = name + " motor controller log"
	offer.MaxTokens = 1 + random.IntN(f.tokens)
	if random.Float64() < resendShare {
		offer.Repeats = 1
	}
	offer.Resumes = random.Float64() < resumeShare
	if random.Float64() < leaveShare {
		offer.Leaves = true
		stream.GiveUpAfter = config.Duration(1 + random.Int64N(int64(longestStay)))
	}
	return offer
}

// drawPoison draws one prompt that is sent several times.
func drawPoison(random *rand.Rand, o Options) []Offer {
	var offers []Offer
	for i := range poisonOffers {
		stream := &load.Stream{Name: poisonText, Key: embedded.PrairieKey, Class: poisonClass, Model: model}
		request := load.Request{Name: fmt.Sprintf("%s-%d", poisonText, i), At: drawTime(random, o), Stream: stream}
		request.Prompt, request.MaxTokens = "a "+poisonText+" prompt", 20
		offers = append(offers, Offer{Request: request, Copies: 1})
	}
	return offers
}
