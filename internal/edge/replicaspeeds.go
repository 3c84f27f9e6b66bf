package edge

import (
	"math"
	"sync"
	"time"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
)

// maxSpeedLines is the number of changes of speed that are logged in a second; further ones, as
// when a whole zone turns slow, are left out.
const maxSpeedLines = 4

// setUpReplicaSpeeds turns the estimates of replica speeds on if the settings have them.
func (n *Node) setUpReplicaSpeeds() {
	s := n.options.Settings.PassThrough.ReplicaSpeeds
	if s == nil {
		return
	}
	changes := &speedChanges{log: n.log}
	n.placer.SetReplicaSpeeds(&placement.ReplicaSpeeds{HalfLife: s.HalfLife.Std(), OnChange: changes.write})
	n.placer.RegisterSpeedMetrics(n.registry, time.Now)
}

// speedChanges logs changes of speed classes. It is safe for concurrent use.
type speedChanges struct {
	log *eventlog.Log

	mu     sync.Mutex
	second int64
	lines  int
}

func (s *speedChanges) write(c placement.SpeedChange) {
	if s.admit(time.Now().Unix()) {
		s.log.Write(&replicaSpeedChanged{change: c})
	}
}

func (s *speedChanges) admit(second int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.second != second {
		s.second, s.lines = second, 0
	}
	s.lines++
	return s.lines <= maxSpeedLines
}

// replicaSpeedChanged is a change of the class of a replica's speed.
type replicaSpeedChanged struct {
	change placement.SpeedChange
}

// Name implements eventlog.Event.
func (*replicaSpeedChanged) Name() string { return "replica_speed_changed" }

// Level implements eventlog.Event.
func (*replicaSpeedChanged) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *replicaSpeedChanged) Fields() eventlog.Fields {
	c, hundredths := e.change, func(x float64) float64 { return math.Round(100*x) / 100 }
	return eventlog.Fields{
		"replica": c.Replica.ID, "upstream": c.Replica.Upstream, "from": c.Before.String(), "to": c.Speed.Class.String(),
		"prefill_factor": hundredths(c.Speed.PrefillFactor), "decode_factor": hundredths(c.Speed.DecodeFactor),
		"prefill_weight": hundredths(c.Speed.PrefillWeight), "own_prefill_weight": hundredths(c.Speed.OwnPrefillWeight),
		"decode_weight": hundredths(c.Speed.DecodeWeight), "own_decode_weight": hundredths(c.Speed.OwnDecodeWeight),
		"running": c.Running, "pending_prefill": c.PendingPrefill, "peers_known": c.PeersAge != placement.NoPeers, "peers_age_ms": max(c.PeersAge, 0).Milliseconds(),
	}
}
