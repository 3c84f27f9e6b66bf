package nodesync

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ctxtime"
	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
	"galenatrestle/internal/gen/trestle/nodesync/v1/nodesyncv1connect"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/quarantine/quarantinerpc"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/routesource"
)

const (
	// roundEvery is the time between two rounds of calls.
	roundEvery = 200 * time.Millisecond
	// roundJitter spreads the rounds of nodes that started together.
	roundJitter = 50 * time.Millisecond
	// callsPerRound is the number of nodes asked in a round. With eight nodes
	// news reach all in two rounds, for some 14 calls a second each way.
	callsPerRound = 3
	// usedLately is how long after its last choice of a replica a node counts as used.
	usedLately = 3 * time.Second
	// callTimeout bounds one call; nodes are a few milliseconds apart.
	callTimeout = 400 * time.Millisecond
)

// Sync exchanges state with other nodes. It is safe for concurrent use.
type Sync struct {
	options Options

	// mu guards the random source, and asking: the peer addresses of calls in
	// flight.
	mu     sync.Mutex
	asking map[string]bool
	// wholeListing says that the next request asks for the whole listing.
	wholeListing atomic.Bool
	// rounds counts the rounds.
	rounds  atomic.Uint64
	sums    sums
	hubList hubList
	cursors cursors
}

// New returns a Sync that asks nobody until Run.
func New(options Options) *Sync {
	return &Sync{options: options, asking: make(map[string]bool)}
}

// Handler returns the path and the handler to mount on the peer listener.
func (s *Sync) Handler() (string, http.Handler) {
	return nodesyncv1connect.NewNodeSyncServiceHandler(s)
}

// Run asks other nodes until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	for tick := 0; ; tick++ {
		if s.due(tick) {
			s.Round(ctx)
		}
		jitter := s.jitter()
		if err := ctxtime.Sleep(ctx, roundEvery+jitter); err != nil {
			return
		}
	}
}

// due says whether the node asks others at the tick. A member of a large fleet that has
// placed no request lately has no load to tell and decides nothing: it asks less often,
// as long as it hears of changes in time. Of 295 nodes some two hundred serve nobody.
func (s *Sync) due(tick int) bool {
	every := s.options.IdleRoundInterval()
	if every <= 1 || tick%every == 0 {
		return true
	}
	return s.options.Placer.UsedWithin(usedLately, time.Now()) || s.Role() != Member
}

func (s *Sync) jitter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.options.Rand.Int64N(int64(roundJitter)))
}

// Round asks a few nodes, without waiting for their answers.
func (s *Sync) Round(ctx context.Context) {
	for _, t := range s.targets() {
		go s.ask(ctx, t)
	}
}

// ask makes one call, unless one to the same node is in flight.
func (s *Sync) ask(ctx context.Context, t target) {
	if !s.begin(t.address) {
		return
	}
	defer s.done(t.address)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := s.options.Clock()
	client := nodesyncv1connect.NewNodeSyncServiceClient(
		s.options.Clients.HTTPClient(t.address), s.options.Clients.URL(t.address))
	asked := time.Now()
	request := s.request(t, began)
	response, err := client.Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		// A path that went silent takes nothing any more: begin a new one.
		s.options.Clients.Forget(t.address)
		s.options.Nodes.MarkFailed(t.name, began)
		s.cursors.forget(t.name)
		s.options.Log.Write(&peerLost{target: t, err: err})
		return
	}
	if !request.GetWithoutLoads() {
		s.cursors.set(t.name, asked)
	}
	s.take(response.Msg, request, began)
}

func (s *Sync) begin(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking[address] {
		return false
	}
	s.asking[address] = true
	return true
}

func (s *Sync) done(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asking, address)
}

// request is this node's state and what it knows already, for the node asked.
func (s *Sync) request(t target, now boottime.Instant) *nodesyncv1.ExchangeRequest {
	self := s.options.Self()
	self.LastSeen = now
	listing, _ := s.options.Replicas.Latest()
	terms := s.termsWith(t.name, now)
	request := &nodesyncv1.ExchangeRequest{
		Self:             s.ownToProto(self, now),
		ConfigVersion:    s.options.Routes.Get().Version(),
		ReplicasRevision: listing.Revision,
		ReplicasDigest:   listing.Digest,
		TakesChanges:     true,
		WithoutLoads:     terms.without,
		AddsUp:           terms.addsUp,
		Crashes:          recentCrashes(s.options.Tracker.Records(time.Now()), time.Now()),
		RateLimits:       ratelimit.ToProto(s.options.RateLimits.ForPeers(), now),
	}
	if s.wholeListing.Swap(false) {
		request.ReplicasRevision, request.ReplicasDigest = 0, 0
	}
	if !terms.without {
		request.Loads = loadsToProto(s.options.Placer.Loads(time.Now()))
		request.Placements = placementsToProto(s.options.Placer.Placements(time.Now(), s.cursors.of(t.name)))
	}
	return request
}

// Exchange implements nodesyncv1connect.NodeSyncServiceHandler.
func (s *Sync) Exchange(_ context.Context, request *connect.Request[nodesyncv1.ExchangeRequest]) (*connect.Response[nodesyncv1.ExchangeResponse], error) {
	now := s.options.Clock()
	m := request.Msg
	caller := nodeFromProto(m.GetSelf(), now)
	s.takeNode(caller)
	s.takeTime(m.GetSelf(), now)
	s.options.Tracker.Merge(time.Now(), quarantinerpc.FromProto(m.GetCrashes()))
	s.takeLimits(m.GetRateLimits(), caller.Name, now)
	if m.GetWithoutLoads() {
		return connect.NewResponse(s.response(m)), nil
	}
	isHub := s.Role().addsUp()
	s.takeLoads(caller, toldLoads{m.GetLoads(), m.GetPlacements(), m.GetAddsUp(), isHub}, now)
	answer := s.response(m)
	s.tellLoads(answer, caller.Name)
	if isHub {
		s.tellSums(answer, !m.GetAddsUp())
	}
	return connect.NewResponse(answer), nil
}

// response tells this node's state, with what the caller does not have.
func (s *Sync) response(m *nodesyncv1.ExchangeRequest) *nodesyncv1.ExchangeResponse {
	snapshot := s.options.Routes.Get()
	listing, readAt := s.options.Replicas.Latest()
	// The ages are taken after the state they tell of, so that they are not
	// too young.
	now := s.options.Clock()
	self := s.options.Self()
	self.LastSeen = now
	answer := &nodesyncv1.ExchangeResponse{
		Self:             s.ownToProto(self, now),
		ConfigVersion:    snapshot.Version(),
		ConfigProofAge:   snapshot.Age(now).Microseconds(),
		ReplicasRevision: listing.Revision,
		ReplicasReadAge:  now.Sub(readAt).Microseconds(),
		ReplicasDigest:   listing.Digest,
		Crashes:          recentCrashes(s.options.Tracker.Records(time.Now()), time.Now()),
		RateLimits:       ratelimit.ToProto(s.options.RateLimits.ForPeers(), now),
	}
	for _, n := range s.told(m.GetSelf().GetAvailabilityZone(), now) {
		answer.Nodes = append(answer.Nodes, nodeToProto(n, now))
	}
	if snapshot.Version() > m.GetConfigVersion() {
		answer.Config = snapshot.Document
	}
	if listing.Revision > m.GetReplicasRevision() && answer.ReplicasDigest != m.GetReplicasDigest() {
		s.tellListing(answer, m, listing)
	}
	return answer
}

// take takes in another node's answer to what was asked from the instant on.
func (s *Sync) take(m *nodesyncv1.ExchangeResponse, asked *nodesyncv1.ExchangeRequest, began boottime.Instant) {
	node := nodeFromProto(m.GetSelf(), began)
	node.LastSeen = began
	s.takeNode(node)
	s.takeTime(m.GetSelf(), s.options.Clock())
	for _, n := range m.GetNodes() {
		s.takeNode(nodeFromProto(n, began))
	}
	if !asked.GetWithoutLoads() {
		isHub := s.Role().addsUp()
		s.takeLoads(node, toldLoads{loads: m.GetLoads(), placements: m.GetPlacements(), toHub: isHub}, began)
		s.takeSums(m, node, asked, isHub)
	}
	s.options.Tracker.Merge(time.Now(), quarantinerpc.FromProto(m.GetCrashes()))
	s.takeConfig(m, node.Name, began)
	s.takeReplicas(m, node.Name, began)
	s.takeLimits(m.GetRateLimits(), node.Name, began)
}

// ownToProto is this node and its time of day.
func (s *Sync) ownToProto(self Node, now boottime.Instant) *nodesyncv1.Node {
	told := nodeToProto(self, now)
	if s.options.FleetTime != nil {
		told.WallTime = s.options.FleetTime.Wall().UnixMicro()
	}
	return told
}

// takeTime takes in another node's time of day, heard at the instant.
func (s *Sync) takeTime(n *nodesyncv1.Node, heardAt boottime.Instant) {
	if s.options.FleetTime != nil && n.GetWallTime() != 0 {
		s.options.FleetTime.Told(n.GetName(), time.UnixMicro(n.GetWallTime()), heardAt)
	}
}

func (s *Sync) takeNode(n Node) {
	if s.options.Nodes.Merge(n) {
		s.options.Log.Write(&peerFound{node: n})
	}
}

// takeConfig takes a newer document, or the proof that the own one is the newest or
// that there is none yet: before the first one, a fleet of 300 nodes made two
// thousand reads of the store where each looked for it.
func (s *Sync) takeConfig(m *nodesyncv1.ExchangeResponse, from string, began boottime.Instant) {
	provenAt := began.Add(-microseconds(m.GetConfigProofAge()))
	if len(m.GetConfig()) == 0 {
		s.options.Routes.Prove(m.GetConfigVersion(), provenAt)
		return
	}
	changed, err := s.options.Routes.Take(m.GetConfig(), provenAt)
	if err != nil {
		s.options.Log.Error("decode configuration of "+from, err)
		return
	}
	if changed {
		s.options.Log.Write(&routesource.Taken{Version: m.GetConfigVersion(), From: from, Age: microseconds(m.GetConfigProofAge())})
	}
}

// SetClients gives the clients for calls of other nodes. It is called before
// Run.
func (s *Sync) SetClients(clients *peer.Clients) { s.options.Clients = clients }

// Announce asks all nodes at once, so that they learn this node's state, and waits
// for their answers.
func (s *Sync) Announce(ctx context.Context) {
	var calls sync.WaitGroup
	for _, n := range s.options.Nodes.Alive(s.options.Clock()) {
		calls.Go(func() { s.ask(ctx, targetOf(n)) })
	}
	calls.Wait()
}
