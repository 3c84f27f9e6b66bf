package replicapath

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxHelpers is the number of nodes among which connections are spread. It is small, so that
	// a node of a large fleet opens few connections to others.
	maxHelpers = 4
	// helpersMaxAge is how long the same nodes are used.
	helpersMaxAge = time.Second
	// unablePause is how long a node that could not help is left out.
	unablePause = time.Second
	// maxHelperTries bounds the nodes tried for one connection.
	maxHelperTries = 3
)

// helpers are the nodes that connect to replicas for this one. It is not safe for concurrent use.
type helpers struct {
	current []Helper
	drawnAt time.Time
	// unable are the nodes that could not help, with the time at which they may be tried again.
	unable map[string]time.Time
}

// next returns the nodes to try for one connection, in random order, leaving ones last. draw returns
// up to n random nodes.
func (h *helpers) next(now time.Time, random *rand.Rand, draw func(n int) []Helper) []Helper {
	for name, until := range h.unable {
		if !now.Before(until) {
			delete(h.unable, name)
		}
	}
	if len(h.current) == 0 || now.Sub(h.drawnAt) >= helpersMaxAge {
		// More are drawn than needed, as some of them may be unable.
		able := slices.DeleteFunc(draw(maxHelpers+len(h.unable)), func(helper Helper) bool { return h.isUnable(helper) })
		h.current, h.drawnAt = able[:min(len(able), maxHelpers)], now
	}
	order := slices.Clone(h.current)
	shuffleLast(random, order, func(helper Helper) bool { return helper.Leaving })
	return order[:min(len(order), maxHelperTries)]
}

func (h *helpers) isUnable(helper Helper) bool {
	_, unable := h.unable[helper.Name]
	return unable
}

// markUnable leaves the node out for unablePause.
func (h *helpers) markUnable(now time.Time, helper Helper) {
	if h.unable == nil {
		h.unable = make(map[string]time.Time)
	}
	h.unable[helper.Name] = now.Add(unablePause)
	h.current = slices.DeleteFunc(slices.Clone(h.current), func(other Helper) bool { return other == helper })
}
