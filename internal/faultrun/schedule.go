package faultrun

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"galenatrestle/internal/load"
)

// Schedule is what a seed stands for.
type Schedule struct {
	Seed   uint64
	Events []Event
	// Offers are the requests, by time.
	Offers []Offer
	// Poison says that one prompt crashes every engine that runs it.
	Poison bool
	// ShareSlots has the nodes share the replicas' slots by credits.
	ShareSlots bool
}

// Offer is one planned request with its repeats.
type Offer struct {
	load.Request
	// Copies is how many nodes get it at once.
	Copies int
	// Repeats is how often it is sent again, Pause after the end before.
	Repeats int
	Pause   time.Duration
	// Leaves says that the caller closes the connection in the middle.
	Leaves bool
	// Resumes says that it then asks for the rest of a streamed answer.
	Resumes bool
}

// Bounds of what is drawn.
const (
	minEvents, moreEvents = 3, 7
	// pairShare is the part of events that begin with the one before.
	pairShare = 0.5
	// wideShare is the part of events that may hit more than one replica.
	wideShare    = 0.3
	poisonShare  = 0.3
	creditShare  = 0.5
	restoreShare = 0.07
	// firstEvent and lastEvent are the parts of the run between which events begin.
	firstEvent, lastEvent = 0.05, 0.75
	minLength, moreLength = 100 * time.Millisecond, 1400 * time.Millisecond
	// listedLength is that of ListedLeaving: nodes read the list every two seconds.
	listedLength = 4 * time.Second
	roughTick    = time.Millisecond
)

// Draw returns the seed's schedule. It is pure.
func Draw(seed uint64, o Options) Schedule {
	random := rand.New(rand.NewPCG(seed, 0xfa17))
	s := Schedule{Seed: seed, Poison: random.Float64() < poisonShare}
	s.Events = drawEvents(random, o)
	s.Offers = drawOffers(random, o, s.Poison)
	s.ShareSlots = random.Float64() < creditShare
	return s
}

func drawEvents(random *rand.Rand, o Options) []Event {
	var events []Event
	for range minEvents + random.IntN(moreEvents) {
		event := drawEvent(random, o)
		if last := len(events) - 1; last >= 0 && random.Float64() < pairShare {
			event.At = events[last].At
		}
		events = append(events, event)
	}
	if random.Float64() < restoreShare {
		events = append(events, drawRestore(random, o)...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// drawRestore draws the platform's loss of a configuration that was accepted.
func drawRestore(random *rand.Rand, o Options) []Event {
	lost := Event{Kind: ConfigurationSent, Target: random.IntN(o.Nodes), Width: 1}
	restored := Event{At: drawTime(random, o), Kind: PlatformRestored, Width: 1}
	lost.At = (restored.At / 2).Truncate(roughTick)
	return []Event{lost, restored}
}

func drawEvent(random *rand.Rand, o Options) Event {
	event := Event{Kind: drawn[random.IntN(len(drawn))], At: drawTime(random, o)}
	event.For = (minLength + time.Duration(random.Int64N(int64(moreLength)))).Truncate(roughTick)
	event.Target = random.IntN(event.targets(o))
	event.Factor = event.drawFactor(random)
	event.Width = 1
	if random.Float64() < wideShare {
		event.Width = 1 + random.IntN(event.targets(o))
	}
	if event.Kind == ListedLeaving {
		event.For, event.Width = listedLength, 1
	}
	return event
}

func drawTime(random *rand.Rand, o Options) time.Duration {
	part := firstEvent + random.Float64()*(lastEvent-firstEvent)
	return time.Duration(part * float64(o.For)).Truncate(roughTick)
}

// targets is the number of things of which the event hits one.
func (e Event) targets(o Options) int {
	switch e.Kind {
	case EngineCrash, EngineStraggler, EngineRefuse, EngineHang, EngineLeaving, ListedLeaving:
		return o.Engines
	case ServiceCrash, ServiceHang, ServiceRefuse:
		return o.Services
	case NodeKilled, NodeStopped, NodeCut, ConfigurationSent:
		return o.Nodes
	default:
		return 1
	}
}

func (e Event) drawFactor(random *rand.Rand) float64 {
	switch e.Kind {
	case EngineStraggler:
		return float64(3 + random.IntN(12))
	case PlatformSlow:
		return float64(20 + random.IntN(400))
	case PlatformLost:
		return 0.2 + 0.7*random.Float64()
	case PlatformGap:
		return float64(random.IntN(2))
	default:
		return 0
	}
}
