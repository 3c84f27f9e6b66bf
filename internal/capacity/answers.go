package capacity

import (
	"fmt"
	"strconv"
	"time"

	"galenatrestle/internal/answer"
)

// tokenEvent is the SSE payload of one token as a caller gets it, without the
// token.
const tokenEvent = `{"id":"vm-000.0123456789abcdef0123456789abcdef","object":"chat.completion.chunk","created":1800000000,"model":"model-1","choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":null}]}`

// distinctTokens is the number of different tokens in the answers.
const distinctTokens = 10007

func token(i int) string { return strconv.FormatInt(int64(i*7919%distinctTokens)+46656, 36) }

// answersKept is the number of answers for one figure.
const answersKept = 50

// Answers measures a kept answer by its length.
func Answers(fleet Fleet, tokens []int) ([]Slope, error) {
	base := Slope{Role: RoleAnswers, Against: "tokens of one answer", Target: fleet.TokensPerRequest()}
	memory, accounted, cpu := base, base, base
	memory.Quantity, memory.Unit = "heap", "B"
	accounted.Quantity, accounted.Unit = "bytes accounted for", "B"
	cpu.Quantity, cpu.Unit = "processor time", "s"
	events := tokenEvents()
	for _, n := range tokens {
		var used time.Duration
		var store *answer.Store
		kept := heapOf(func() *answer.Store {
			used = cpuOf(func() { store = keepAnswers(events, n) })
			return store
		})
		memory.add(n, kept/answersKept)
		accounted.add(n, float64(store.Used())/answersKept)
		cpu.add(n, used.Seconds()/answersKept)
	}
	return fitAll(memory, accounted, cpu)
}

// tokenEvents returns different events.
func tokenEvents() [][]byte {
	events := make([][]byte, distinctTokens)
	for i := range events {
		events[i] = fmt.Appendf(nil, tokenEvent, token(i))
	}
	return events
}

func keepAnswers(events [][]byte, tokens int) *answer.Store {
	store := answer.NewStore(answer.Options{MaxBytes: 1 << 30})
	now := time.UnixMilli(1_800_000_000_000)
	for i := range answersKept {
		record, err := store.Open(now, answer.Meta{
			ID: fmt.Sprintf("vm-000.%032x", i), Workspace: workspaceName(i), Upstream: modelName(1),
			Streamed: true, Retention: time.Minute,
		})
		if err != nil {
			panic(err)
		}
		for sequence := range tokens {
			if err := record.Append(now, 1, int64(sequence)+1, events[(i+sequence)%len(events)]); err != nil {
				panic(err)
			}
		}
		if err := record.Finish(now, 1, int64(tokens)); err != nil {
			panic(err)
		}
	}
	return store
}
