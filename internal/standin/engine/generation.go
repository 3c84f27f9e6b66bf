package engine

import (
	"strings"
	"time"

	"galenatrestle/internal/openai"
)

// generation is one request inside the engine. Its fields below the line are
// guarded by the engine's lock.
type generation struct {
	requestID string
	model     string
	prompt    string
	words     []string
	// first is the index of the first word to give, more than zero where the
	// request goes on from a delivered prefix; total is the index after the
	// last.
	first, total int
	limited      bool
	priority     int
	promptTokens int
	prefixes     []uint64
	// notify has room for one: something below changed.
	notify chan struct{}
	// abort makes writes to the caller fail, also one that blocks now.
	abort func()

	arrival  int64
	index    int // in the waiting heap, -1 outside
	sequence int64
	readyAt  time.Time
	given    int // words given so far in this run
	state    state
}

// state is where a generation is.
type state int

const (
	stateWaiting state = iota
	stateRunning
	stateDone
	stateCancelled
	stateCrashed
)

func newGeneration(request *openai.Request, requestID string, seed uint64) *generation {
	prompt := request.LastUserText()
	text := request.PromptText()
	g := &generation{
		requestID:    requestID,
		model:        request.Model,
		prompt:       text,
		words:        promptWords(prompt),
		first:        givenWords(request),
		limited:      request.TokenLimit() > 0,
		promptTokens: len(strings.Fields(text)),
		prefixes:     openai.PrefixHashes(request.Model, text),
		notify:       make(chan struct{}, 1),
		index:        -1,
	}
	if request.Priority != nil {
		g.priority = *request.Priority
	}
	g.total = AnswerLength(prompt, seed)
	if g.limited {
		g.total = g.first + request.TokenLimit()
	}
	return g
}

// givenWords counts the words that the caller already has.
func givenWords(request *openai.Request) int {
	if !request.ContinueFinalMessage || len(request.Messages) == 0 {
		return 0
	}
	last := request.Messages[len(request.Messages)-1]
	if last.Role != openai.RoleAssistant {
		return 0
	}
	return len(strings.Fields(last.Content))
}

// remaining returns the words still to give.
func (g *generation) remaining() int { return g.total - g.first - g.given }

// piece returns the text at an index of this run.
func (g *generation) piece(index int) string { return answerPiece(g.words, g.first+index) }

func (g *generation) wake() {
	select {
	case g.notify <- struct{}{}:
	default:
	}
}

func (g *generation) finishReason() string {
	if g.limited {
		return "length"
	}
	return "stop"
}
