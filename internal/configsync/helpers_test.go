package configsync

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
	configsyncv1 "galenatrestle/internal/gen/trestle/configsync/v1"
	"galenatrestle/internal/platform"
)

func asError[E error](err error, target *E) bool { return errors.As(err, target) }

func noHave() *configsyncv1.PullRequest { return &configsyncv1.PullRequest{Sender: "test"} }

func noticeOf(state *State) *configsyncv1.NotifyRequest {
	return &configsyncv1.NotifyRequest{Sender: "stale", SenderAddress: "stale", Newest: state.wire()}
}

// counted returns the counter's value for the label values.
func counted(t *testing.T, vec *prometheus.CounterVec, labels ...string) float64 {
	t.Helper()
	var metric dto.Metric
	if err := vec.WithLabelValues(labels...).Write(&metric); err != nil {
		t.Fatal(err)
	}
	return metric.GetCounter().GetValue()
}

// cost is what nodes have sent and received.
type cost struct {
	messages, bytes, acceptorMessages, acceptorBytes float64
	// Calls to the platform.
	reads, writes, watches float64
}

func (c cost) minus(other cost) cost {
	return cost{
		messages: c.messages - other.messages, bytes: c.bytes - other.bytes,
		acceptorMessages: c.acceptorMessages - other.acceptorMessages,
		acceptorBytes:    c.acceptorBytes - other.acceptorBytes,
		reads:            c.reads - other.reads, writes: c.writes - other.writes, watches: c.watches - other.watches,
	}
}

// cost adds up all nodes; node 1 is the acceptor.
func (c *cluster) cost(t *testing.T) cost {
	t.Helper()
	var sum cost
	for call, count := range c.store.Calls() {
		switch {
		case call == platform.CallWatch:
			sum.watches += float64(count.Calls)
		case call.IsWrite():
			sum.writes += float64(count.Calls)
		default:
			sum.reads += float64(count.Calls)
		}
	}
	for i, n := range c.nodes {
		for _, message := range []string{messagePull, messageNotify} {
			for _, direction := range []string{directionSent, directionReceived} {
				messages := counted(t, n.metrics.messages, message, direction)
				bytes := counted(t, n.metrics.bytes, message, direction)
				sum.messages += messages
				sum.bytes += bytes
				if i == 1 {
					sum.acceptorMessages += messages
					sum.acceptorBytes += bytes
				}
			}
		}
	}
	return sum
}

// stateOf returns a state of the revision whose document has the weight.
func stateOf(t *testing.T, revision int64, weight int) *State {
	t.Helper()
	canonical := config.Canonical(document(t, weight))
	sum, err := config.SumOf(canonical)
	if err != nil {
		t.Fatal(err)
	}
	return &State{Index: config.NewIndex(revision, canonical), ID: fmt.Sprintf("id-%d", revision), Sum: sum}
}

func deltaBetween(t *testing.T, from, to *State) *configsyncv1.Delta {
	t.Helper()
	patch, err := packPatch(from.Index.Document(), to.Index.Document())
	if err != nil {
		t.Fatal(err)
	}
	return &configsyncv1.Delta{FromRevision: from.Revision(), To: to.wire(), Patch: patch}
}

// quiet returns a log that goes nowhere.
func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
