package quarantinerpc

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/crashcause/crashcauserpc"
	quarantinev1 "galenatrestle/internal/gen/trestle/quarantine/v1"
	"galenatrestle/internal/gen/trestle/quarantine/v1/quarantinev1connect"
	"galenatrestle/internal/quarantine"
)

const (
	// maxPending bounds the records that wait to be sent.
	maxPending = 4096
	// exchangeInterval is the time between two full exchanges.
	exchangeInterval = 10 * time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// parallelCalls bounds the calls in flight.
	parallelCalls = 16
)

// Dialer returns HTTP clients and URLs for peers; *peer.Clients implements it.
type Dialer interface {
	HTTPClient(address string) *http.Client
	URL(address string) string
}

// Spreader sends changed records to the peers. It is safe for concurrent use.
type Spreader struct {
	tracker *quarantine.Tracker
	causes  *crashcause.Tracker
	// causesChanged is sent to when a record of causes has changed.
	causesChanged chan struct{}
	// peers returns the other nodes' addresses.
	peers   func() []string
	dialer  Dialer
	pending chan quarantine.Record
	calls   *prometheus.CounterVec
}

// NewSpreader returns a spreader that sends nothing until Run.
func NewSpreader(tracker *quarantine.Tracker, causes *crashcause.Tracker, peers func() []string, dialer Dialer, register prometheus.Registerer) *Spreader {
	s := &Spreader{
		tracker: tracker, causes: causes, peers: peers, dialer: dialer, causesChanged: make(chan struct{}, 1),
		pending: make(chan quarantine.Record, maxPending),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "trestle", Name: "quarantine_exchanges_total",
			Help: "Calls of peers that spread records of crashing requests, by result.",
		}, []string{"result"}),
	}
	register.MustRegister(s.calls)
	return s
}

// Offer queues changed records. Records that do not fit in the queue are
// sent in later full exchanges.
func (s *Spreader) Offer(records ...quarantine.Record) {
	for _, r := range records {
		select {
		case s.pending <- r:
		default:
			return
		}
	}
}

// OfferCauses has the changed records of causes sent.
func (s *Spreader) OfferCauses() {
	select {
	case s.causesChanged <- struct{}{}:
	default:
	}
}

// Run sends queued records and exchanges full sets until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	s.exchange(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.pending:
			s.send(ctx, s.batch(first))
		case <-s.causesChanged:
			s.send(ctx, nil)
		case <-ticker.C:
			s.exchange(ctx)
		}
	}
}

// batch returns the first record and all that are queued.
func (s *Spreader) batch(first quarantine.Record) []quarantine.Record {
	records := []quarantine.Record{first}
	for {
		select {
		case r := <-s.pending:
			records = append(records, r)
		default:
			return records
		}
	}
}

// send sends the records to all peers.
func (s *Spreader) send(ctx context.Context, records []quarantine.Record) {
	message := s.withCauses(&quarantinev1.ExchangeRequest{Records: ToProto(records)})
	var group errgroup.Group
	group.SetLimit(parallelCalls)
	for _, address := range s.peers() {
		group.Go(func() error {
			s.call(ctx, address, message)
			return nil
		})
	}
	_ = group.Wait()
}

// withCauses adds the records of causes that others may lack.
func (s *Spreader) withCauses(message *quarantinev1.ExchangeRequest) *quarantinev1.ExchangeRequest {
	message.CrashCausesDigest = s.causes.Digest()
	message.CrashCauses = crashcauserpc.ToProto(s.causes.Shared(time.Now(), message.GetCrashCausesDigest()))
	return message
}

// exchange compares digests with one random peer and, if they differ, exchanges
// all records with it.
func (s *Spreader) exchange(ctx context.Context) {
	addresses := s.peers()
	if len(addresses) == 0 {
		return
	}
	address := addresses[rand.IntN(len(addresses))]
	records := s.tracker.Records(time.Now())
	response := s.call(ctx, address, s.withCauses(&quarantinev1.ExchangeRequest{All: true, Digest: quarantine.Digest(records)}))
	if response == nil || response.GetSame() {
		return
	}
	s.tracker.Merge(time.Now(), FromProto(response.GetRecords()))
	if len(records) > 0 {
		s.call(ctx, address, &quarantinev1.ExchangeRequest{Records: ToProto(records)})
	}
}

func (s *Spreader) call(ctx context.Context, address string, message *quarantinev1.ExchangeRequest) *quarantinev1.ExchangeResponse {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := quarantinev1connect.NewQuarantineServiceClient(s.dialer.HTTPClient(address), s.dialer.URL(address))
	response, err := client.Exchange(ctx, connect.NewRequest(message))
	if err != nil {
		s.calls.WithLabelValues("failed").Inc()
		return nil
	}
	s.calls.WithLabelValues("done").Inc()
	s.causes.Merge(time.Now(), crashcauserpc.FromProto(response.Msg.GetCrashCauses()))
	return response.Msg
}
