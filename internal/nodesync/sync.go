package nodesync

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/crashcause/crashcauserpc"
	"galenatrestle/internal/ctxtime"
	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
	"galenatrestle/internal/gen/trestle/nodesync/v1/nodesyncv1connect"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/routesource"
)

const (
	roundInterval = 200 * time.Millisecond
	// roundJitter keeps nodes that started together from calling at the same time.
	roundJitter = 50 * time.Millisecond
	// callsPerRound is the number of nodes called in a round. In a fleet of eight, a
	// change reaches all nodes in two rounds, with about 14 calls per second each way.
	callsPerRound = 3
	// recentUseWindow is the time after which a node that has chosen no replica counts as
	// idle.
	recentUseWindow = 3 * time.Second
	// callTimeout bounds one call; the latency between nodes is a few milliseconds.
	callTimeout = 400 * time.Millisecond
	// joinTimeout bounds a call to a seed that was not reached yet. When a large fleet starts, all
	// nodes call the seeds at once: if they gave up early and called again, the seeds would spend
	// their time on calls that nobody waits for.
	joinTimeout = 3 * time.Second
)

// Sync exchanges state with other nodes. It is safe for concurrent use.
type Sync struct {
	options Options

	// mu guards options.Rand, scope, the logged role, the partners and inFlight, the peer addresses with a call in flight.
	mu       sync.Mutex
	inFlight map[string]bool
	// fullListingNeeded makes the next request ask for the full listing.
	fullListingNeeded atomic.Bool
	// fetching is set while a listing is fetched from another node.
	fetching     atomic.Bool
	rounds       atomic.Uint64
	sums         hubSums
	hubCache     hubCache
	cursors      placementCursors
	limitCursors limitCursors
	returnsSent  returnCursors
	scope        listingScope
	// loggedRole and loggedHub are the role and hub that were logged last.
	loggedRole Role
	loggedHub  string
	// zonePartner and remotePartner are the nodes of this and of other availability zones that
	// this node calls in addition to the hubs.
	zonePartner, remotePartner partner
	zoneSizes                  zoneSizes
	firstReads                 firstReads
}

// New returns a Sync. It makes no calls until Run, Round or Announce is called.
func New(options Options) *Sync {
	return &Sync{options: options, inFlight: make(map[string]bool)}
}

// Handler returns the path and the handler to mount on the peer listener.
func (s *Sync) Handler() (string, http.Handler) {
	return nodesyncv1connect.NewNodeSyncServiceHandler(s)
}

// Run calls other nodes periodically until ctx is done.
func (s *Sync) Run(ctx context.Context) {
	for tick := 0; ; tick++ {
		if s.due(tick) {
			s.Round(ctx)
		}
		jitter := s.jitter()
		if err := ctxtime.Sleep(ctx, roundInterval+jitter); err != nil {
			return
		}
	}
}

// due reports whether the node makes calls at the tick. An idle member has no load to
// send and calls less often; in a large fleet most nodes are idle, some 200 of 295.
func (s *Sync) due(tick int) bool {
	interval := s.options.IdleRoundInterval()
	if interval <= 1 || tick%interval == 0 {
		return true
	}
	return s.options.Placer.UsedWithin(recentUseWindow, time.Now()) || s.Role() != Member
}

func (s *Sync) jitter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.options.Rand.Int64N(int64(roundJitter)))
}

// Round starts calls to a few nodes without waiting for their responses.
func (s *Sync) Round(ctx context.Context) {
	s.logRole()
	for _, t := range s.targets() {
		go s.call(ctx, t)
	}
}

// call makes one call, unless a call to the same address is in flight.
func (s *Sync) call(ctx context.Context, t target) {
	if !s.beginCall(t.address) {
		return
	}
	defer s.endCall(t.address)
	callerContext := ctx
	ctx, cancel := context.WithTimeout(ctx, t.timeout())
	defer cancel()
	callStart := s.options.Clock()
	sentAt := time.Now()
	request := s.request(t, callStart)
	response, err := s.client(t).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		// The connection may be dead; the next call must open a new one.
		s.options.Clients.Forget(t.address)
		s.options.Nodes.MarkFailed(t.name, callStart)
		s.cursors.reset(t.name)
		s.limitCursors.reset(t.name)
		s.returnsSent.reset(t.name)
		s.options.Log.Write(&peerLost{target: t, err: err})
		return
	}
	if !request.GetWithoutLoads() {
		s.cursors.set(t.name, sentAt)
	}
	s.handleResponse(response.Msg, request, callStart)
	if response.Msg.GetReplicasOmitted() {
		go s.fetchListing(callerContext, t)
	}
}

func (s *Sync) client(t target) nodesyncv1connect.NodeSyncServiceClient {
	return nodesyncv1connect.NewNodeSyncServiceClient(s.options.Clients.HTTPClient(t.address), s.options.Clients.URL(t.address))
}

func (s *Sync) beginCall(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[address] {
		return false
	}
	s.inFlight[address] = true
	return true
}

func (s *Sync) endCall(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, address)
}

func (s *Sync) request(t target, now boottime.Instant) *nodesyncv1.ExchangeRequest {
	self := s.options.Self()
	self.LastSeen = now
	listing, _ := s.options.Replicas.Latest()
	loads := s.loadOptionsFor(t.name, now)
	request := &nodesyncv1.ExchangeRequest{
		Self:             s.selfToProto(self, now),
		ConfigVersion:    s.options.Routes.Get().Version(),
		ReplicasRevision: listing.Revision,
		ReplicasDigest:   listing.Digest,
		ReplicasZone:     s.zoneToRequest(now),
		TakesChanges:     true,
		ZoneSizes:        s.zoneSizes.toProto(now),
		FirstReadAge:     s.firstReadAge(now),
		WithoutLoads:     loads.omit,
		AddsUp:           loads.aggregate,
		RateLimits:       s.limitsFor(t.name, now),
	}
	s.addCrashes(request)
	if s.fullListingNeeded.Swap(false) || listing.Zone != request.ReplicasZone && listing.Zone != "" {
		request.ReplicasRevision, request.ReplicasDigest = 0, 0
	}
	if !loads.omit && !loads.betweenHubs {
		at := time.Now()
		request.Loads, request.WorkspaceUse = loadsToProto(s.options.Placer.Loads(at)), s.ownUse(at)
	}
	if !loads.omit {
		request.Placements = placementsToProto(s.options.Placer.Placements(time.Now(), s.cursors.since(t.name)))
		request.Returns = s.returnsFor(t.name)
	}
	return request
}

// Exchange implements nodesyncv1connect.NodeSyncServiceHandler.
func (s *Sync) Exchange(_ context.Context, request *connect.Request[nodesyncv1.ExchangeRequest]) (*connect.Response[nodesyncv1.ExchangeResponse], error) {
	now := s.options.Clock()
	m := request.Msg
	caller := nodeFromProto(m.GetSelf(), now)
	s.mergeNode(caller)
	s.zoneSizes.merge(zoneSizesFromProto(m.GetZoneSizes(), now), now)
	s.observeTime(m.GetSelf(), now)
	s.mergeFirstRead(m.GetFirstReadAge(), now)
	s.mergeCrashes(m.GetCrashes(), caller.Name)
	s.mergeCrashCauses(m.GetCrashCauses())
	s.mergeRateLimits(m.GetRateLimits(), caller.Name, now)
	if m.GetWithoutLoads() {
		return connect.NewResponse(s.response(m)), nil
	}
	isHub := s.Role().IsHub()
	s.mergeLoads(caller, receivedLoads{loads: m.GetLoads(), placements: m.GetPlacements(), use: m.GetWorkspaceUse(), aggregate: m.GetAddsUp(), selfIsHub: isHub}, now)
	s.mergeReturns(m.GetReturns(), caller.Name, 0)
	reply := s.response(m)
	reply.Returns = s.returnsFor(caller.Name)
	s.addLoads(reply, caller.Name, isHub && (m.GetAddsUp() || hasNode(s.hubs(now), caller.Name)))
	if isHub {
		s.addSums(reply, caller, m.GetAddsUp())
	}
	return connect.NewResponse(reply), nil
}

// response returns this node's state and whatever newer state the caller lacks.
func (s *Sync) response(m *nodesyncv1.ExchangeRequest) *nodesyncv1.ExchangeResponse {
	snapshot := s.options.Routes.Get()
	// Compute the ages after reading the state; otherwise they would be too low.
	now := s.options.Clock()
	self := s.options.Self()
	self.LastSeen = now
	reply := &nodesyncv1.ExchangeResponse{
		Self:           s.selfToProto(self, now),
		ConfigVersion:  snapshot.Version(),
		ConfigProofAge: snapshot.Age(now).Microseconds(),
		Crashes:        s.crashesFor(m.GetQuarantinesDigest()),
		CrashCauses:    crashcauserpc.ToProto(s.options.CrashCauses.Shared(time.Now(), m.GetCrashCausesDigest())),
		RateLimits:     s.limitsFor(m.GetSelf().GetName(), now),
		ZoneSizes:      s.zoneSizes.toProto(now),
		FirstReadAge:   s.firstReadAge(now),
	}
	for _, n := range s.nodesForResponse(m.GetSelf().GetAvailabilityZone(), now) {
		reply.Nodes = append(reply.Nodes, nodeToProto(n, now))
	}
	if snapshot.Version() > m.GetConfigVersion() {
		reply.Config = snapshot.Document
	}
	s.addListing(reply, m, now)
	return reply
}

// handleResponse merges the response to a call that started at callStart.
func (s *Sync) handleResponse(m *nodesyncv1.ExchangeResponse, request *nodesyncv1.ExchangeRequest, callStart boottime.Instant) {
	node := nodeFromProto(m.GetSelf(), callStart)
	node.LastSeen = callStart
	s.mergeNode(node)
	s.observeTime(m.GetSelf(), s.options.Clock())
	for _, n := range m.GetNodes() {
		s.mergeNode(nodeFromProto(n, callStart))
	}
	s.zoneSizes.merge(zoneSizesFromProto(m.GetZoneSizes(), callStart), s.options.Clock())
	s.mergeFirstRead(m.GetFirstReadAge(), callStart)
	if !request.GetWithoutLoads() {
		role := s.Role()
		s.mergeLoads(node, receivedLoads{loads: m.GetLoads(), placements: m.GetPlacements(), use: m.GetWorkspaceUse(), inSums: request.GetAddsUp(), selfIsHub: role.IsHub()}, callStart)
		s.mergeSums(m, node, request, role)
		s.mergeReturns(m.GetReturns(), node.Name, s.options.Clock().Sub(callStart))
	}
	s.mergeCrashes(m.GetCrashes(), node.Name)
	s.mergeCrashCauses(m.GetCrashCauses())
	s.mergeConfig(m, node.Name, callStart)
	s.mergeReplicas(m, node.Name, callStart)
	s.mergeRateLimits(m.GetRateLimits(), node.Name, callStart)
}

func (s *Sync) selfToProto(self Node, now boottime.Instant) *nodesyncv1.Node {
	converted := nodeToProto(self, now)
	if s.options.FleetTime != nil {
		converted.WallTime = s.options.FleetTime.Wall().UnixMicro()
	}
	return converted
}

func (s *Sync) observeTime(n *nodesyncv1.Node, receivedAt boottime.Instant) {
	if s.options.FleetTime != nil && n.GetWallTime() != 0 {
		s.options.FleetTime.Told(n.GetName(), time.UnixMicro(n.GetWallTime()), receivedAt)
	}
}

func (s *Sync) mergeNode(n Node) {
	if s.options.Nodes.Merge(n) {
		s.options.Log.Write(&peerFound{node: n})
	}
}

// mergeConfig applies the document of a response, or, if it has none, the proof that this
// node's version is current. A proof for version zero says that there is no document yet;
// without it, every node of a new fleet would poll the store.
func (s *Sync) mergeConfig(m *nodesyncv1.ExchangeResponse, from string, callStart boottime.Instant) {
	provenAt := callStart.Add(-microseconds(m.GetConfigProofAge()))
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
		s.options.Log.Write(&routesource.Taken{Version: m.GetConfigVersion(), Admits: s.options.Routes.Get().Table.Admits(), From: from, Age: microseconds(m.GetConfigProofAge())})
	}
}

// SetClients sets the clients for calls to other nodes. It must be called before Run.
func (s *Sync) SetClients(clients *peer.Clients) { s.options.Clients = clients }
