package handover

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/gen/trestle/handover/v1/handoverv1connect"
	"galenatrestle/internal/platform/memstore"
)

var protocolSet = Set{Upstreams: []string{simUpstream}}

// peerBench is a receiver behind a connect server.
type peerBench struct {
	store   *MoveStore
	ledger  *simLedger
	metrics *Metrics
	log     bytes.Buffer
	peer    *Counterparts
}

func newPeerBench(t *testing.T) *peerBench {
	kv := memstore.New(memstore.Config{})
	w := newIDs()
	b := &peerBench{
		store: NewMoveStore(kv, w), metrics: NewMetrics(prometheus.NewRegistry()),
		ledger: &simLedger{kv: kv, claims: map[string]string{}},
	}
	log := logrus.New()
	log.SetOutput(&b.log)
	receiver := NewReceiver(b.store, b.ledger, b.metrics, log, time.Now)
	mux := http.NewServeMux()
	mux.Handle(handoverv1connect.NewHandoverServiceHandler(NewService(receiver)))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	b.peer = NewCounterparts(testDialer{server}, map[string][]string{"east": {"a node"}})
	return b
}

// testDialer reaches one server whatever the address.
type testDialer struct{ server *httptest.Server }

func (d testDialer) Dial(string) (*http.Client, string) { return d.server.Client(), d.server.URL }

func newIDs() func() string {
	n := 0
	return func() string { n++; return strings.Repeat("x", n) }
}

// TestMessagesAgainstTheProtocol sends a table of messages to a target in the
// phase that the earlier ones left; wrong ones are refused, counted, logged
// with the peer, and change nothing.
func TestMessagesAgainstTheProtocol(t *testing.T) {
	b := newPeerBench(t)
	part := func(n int, export int64) Message {
		return Message{Kind: MessageTransfer, Part: n, Parts: 2, Export: export, Claims: []byte(`{"k":"open"}`)}
	}
	prepared := func(m Move) (Move, error) { m.Phase = PhaseReady; return m, nil }
	for _, c := range []struct {
		name   string
		m      Message
		want   string
		change func(m Move) (Move, error)
	}{
		{name: "open before an offer", m: Message{Kind: MessageOpen, Parts: 1}, want: RefusedUnknown},
		{name: "offer of a newer version", m: Message{Kind: MessageOffer, Version: 2, Set: protocolSet}, want: RefusedVersion},
		{name: "offer of nothing", m: Message{Kind: MessageOffer}, want: RefusedMalformed},
		{name: "offer", m: Message{Kind: MessageOffer, Set: protocolSet}},
		{name: "offer again", m: Message{Kind: MessageOffer, Set: protocolSet}},
		{name: "offer of another set", m: Message{Kind: MessageOffer, Set: Set{Upstreams: []string{"y"}}}, want: RefusedDiffers},
		{name: "offer of an overlapping move", m: Message{Kind: MessageOffer, MoveID: "n", Set: protocolSet}, want: RefusedOverlap},
		{name: "offer of the move by another", m: Message{Kind: MessageOffer, Sender: "south", Set: protocolSet}, want: RefusedSender},
		{name: "transfer before ready", m: part(0, 1), want: RefusedPhase},
		{name: "open before ready", m: Message{Kind: MessageOpen, Parts: 1}, want: RefusedPhase},
		{name: "transfer", m: part(0, 1), change: prepared},
		{name: "transfer again", m: part(0, 1)},
		{name: "part beyond the parts", m: part(2, 1), want: RefusedMalformed},
		{name: "open without all parts", m: Message{Kind: MessageOpen, Parts: 2, Export: 1}, want: RefusedParts},
		{name: "other part of a newer export", m: part(1, 2)},
		{name: "parts of two exports don't make one", m: Message{Kind: MessageOpen, Parts: 2, Export: 2}, want: RefusedParts},
		{name: "part of an older export", m: part(1, 1), want: RefusedExport},
		{name: "abandon after a transfer", m: Message{Kind: MessageAbandon}, want: RefusedPhase},
		{name: "late outcomes before open", m: Message{Kind: MessageTransfer, Late: true}, want: RefusedPhase},
		{name: "done before open", m: Message{Kind: MessageDone}, want: RefusedPhase},
		{name: "the other part", m: part(0, 2)},
		{name: "open", m: Message{Kind: MessageOpen, Parts: 2, Export: 2}},
		{name: "open again", m: Message{Kind: MessageOpen, Parts: 2, Export: 2}},
		{name: "a target's message to a target", m: Message{Kind: MessageOpened}, want: RefusedMalformed},
		{name: "no message", m: Message{}, want: RefusedMalformed},
		{name: "done", m: Message{Kind: MessageDone}},
		{name: "the finished move's set at an old epoch", m: Message{Kind: MessageOffer, MoveID: "n", Set: protocolSet}, want: RefusedEpoch},
	} {
		if c.change != nil {
			if _, err := b.store.Update(t.Context(), "m", c.change); err != nil {
				t.Fatal(err)
			}
		}
		b.check(t, c.name, fill(c.m), c.want)
	}
	if b.ledger.claims["k"] != "open" {
		t.Errorf("claims after the transfer: %v", b.ledger.claims)
	}
}

func fill(m Message) Message {
	if m.Version == 0 {
		m.Version = ProtocolVersion
	}
	if m.MoveID == "" {
		m.MoveID = "m"
	}
	if m.Sender == "" {
		m.Sender = "west"
	}
	return m
}

func (b *peerBench) check(t *testing.T, name string, m Message, want string) {
	t.Helper()
	before, _ := b.store.Move(t.Context(), "m")
	b.log.Reset()
	counted := testutil.ToFloat64(b.metrics.refused.WithLabelValues(string(m.Kind), want))
	receipt, err := b.peer.Deliver(t.Context(), "east", m)
	if err != nil || receipt.Reason != want || receipt.Accepted != (want == "") {
		t.Fatalf("%s: %+v, %v; want %q", name, receipt, err, want)
	}
	if want == "" {
		return
	}
	after, _ := b.store.Move(t.Context(), "m")
	if !reflect.DeepEqual(before, after) {
		t.Errorf("%s: refused, but changed %+v to %+v", name, before, after)
	}
	if testutil.ToFloat64(b.metrics.refused.WithLabelValues(string(m.Kind), want)) != counted+1 {
		t.Errorf("%s: not counted", name)
	}
	if !strings.Contains(b.log.String(), "peer="+m.Sender) {
		t.Errorf("%s: logged %q", name, b.log.String())
	}
}

// TestSourceRefusesWhatItDidNotSeal shows that a target that opens against the
// protocol moves nothing at the source.
func TestSourceRefusesWhatItDidNotSeal(t *testing.T) {
	b := newPeerBench(t)
	if _, err := b.store.Begin(t.Context(), "m", protocolSet, "west", time.Now()); err != nil {
		t.Fatal(err)
	}
	b.check(t, "opened before the seal", fill(Message{Kind: MessageOpened, Epoch: 1}), RefusedPhase)
	b.check(t, "ready by another", fill(Message{Kind: MessageReady, Sender: "south"}), RefusedSender)
	b.check(t, "ready", fill(Message{Kind: MessageReady, RelayAddress: "r"}), "")
	m, err := b.store.Move(t.Context(), "m")
	if err != nil || m.Phase != PhaseArming || m.RelayAddress != "r" {
		t.Errorf("%+v, %v", m, err)
	}
}

func TestWireKeepsMessages(t *testing.T) {
	for _, m := range []Message{
		{Kind: MessageOffer, Set: protocolSet, Epoch: 3, RelayAddress: "a"},
		{Kind: MessageReady, RelayAddress: "a"},
		{Kind: MessageRefuse, Reason: "r"},
		{Kind: MessageSealed},
		{Kind: MessageTransfer, Part: 1, Parts: 2, Late: true, Claims: []byte("c"), Export: 4},
		{Kind: MessageOpen, Parts: 2, Export: 4},
		{Kind: MessageOpened, Epoch: 4},
		{Kind: MessageDone},
		{Kind: MessageAbandon, Reason: "r"},
	} {
		m = fill(m)
		if got := fromWire(toWire(m)); !reflect.DeepEqual(got, m) {
			t.Errorf("got %+v, want %+v", got, m)
		}
	}
}
