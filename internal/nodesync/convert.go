package nodesync

import (
	"time"

	"galenatrestle/internal/boottime"
	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/replica"
)

func nodeToProto(n Node, now boottime.Instant) *nodesyncv1.Node {
	return &nodesyncv1.Node{
		Name: n.Name, AvailabilityZone: n.AvailabilityZone,
		EntryAddress: n.EntryAddress, PeerAddress: n.PeerAddress,
		Ready: n.Ready, Leaving: n.Leaving, HeardAge: now.Sub(n.LastSeen).Microseconds(),
		ProcessorShare: n.ProcessorShare, DutyFence: n.DutyFence,
	}
}

// nodeFromProto subtracts the age of LastSeen from callStart. For a response that is the
// start of the call, so that the transmission time never makes a node look more recently
// seen than it was; for a request it is the arrival.
func nodeFromProto(n *nodesyncv1.Node, callStart boottime.Instant) Node {
	return Node{
		Name: n.GetName(), AvailabilityZone: n.GetAvailabilityZone(),
		EntryAddress: n.GetEntryAddress(), PeerAddress: n.GetPeerAddress(),
		Ready: n.GetReady(), Leaving: n.GetLeaving(),
		ProcessorShare: n.GetProcessorShare(), DutyFence: n.GetDutyFence(),

		LastSeen: callStart.Add(-microseconds(n.GetHeardAge())),
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func replicasToProto(list []replica.Replica) []*nodesyncv1.Replica {
	converted := make([]*nodesyncv1.Replica, 0, len(list))
	for _, r := range list {
		converted = append(converted, &nodesyncv1.Replica{
			Id: r.ID, Upstream: r.Upstream, Address: r.Address,
			AvailabilityZone: r.AvailabilityZone, Slots: int32(r.Slots), Draining: r.Draining, Reclaimable: r.Reclaimable, StartedAt: r.StartedAt, Version: r.Version,
		})
	}
	return converted
}

func replicasFromProto(list []*nodesyncv1.Replica) []replica.Replica {
	converted := make([]replica.Replica, 0, len(list))
	for _, r := range list {
		converted = append(converted, replica.Replica{
			ID: r.GetId(), Upstream: r.GetUpstream(), Address: r.GetAddress(),
			AvailabilityZone: r.GetAvailabilityZone(), Slots: int(r.GetSlots()), Draining: r.GetDraining(), Reclaimable: r.GetReclaimable(), StartedAt: r.GetStartedAt(), Version: r.GetVersion(),
		})
	}
	return converted
}

func loadsToProto(loads []placement.Load) []*nodesyncv1.Load {
	converted := make([]*nodesyncv1.Load, 0, len(loads))
	for _, l := range loads {
		converted = append(converted, &nodesyncv1.Load{
			Replica: l.Replica, Running: int32(l.Running), Prefill: int32(l.PrefillBacklog.Total()), PrefillByRank: backlogToProto(l.PrefillBacklog), Light: int32(l.RunningShort), Tokens: int32(l.TokensInMemory), Failures: float32(l.FailureScore),
			PrefillWeight: weightToProto(l.Prefill), PrefillLogSum: logSumToProto(l.Prefill), DecodeWeight: weightToProto(l.Decode), DecodeLogSum: logSumToProto(l.Decode), BestPace: float32(l.BestPace),
		})
	}
	return converted
}

func loadsFromProto(loads []*nodesyncv1.Load) []placement.Load {
	converted := make([]placement.Load, 0, len(loads))
	for _, l := range loads {
		converted = append(converted, placement.Load{
			Replica: l.GetReplica(), Running: int(l.GetRunning()), PrefillBacklog: backlogFromProto(l), RunningShort: int(l.GetLight()), TokensInMemory: int(l.GetTokens()), FailureScore: float64(l.GetFailures()),
			Prefill: observedFromProto(l.GetPrefillWeight(), l.GetPrefillLogSum()), Decode: observedFromProto(l.GetDecodeWeight(), l.GetDecodeLogSum()), BestPace: float64(l.GetBestPace()),
		})
	}
	return converted
}

// backlogToProto omits trailing zeros.
func backlogToProto(backlog placement.PrefillBacklog) []int32 {
	var byRank []int32
	for rank, tokens := range backlog {
		if tokens == 0 {
			continue
		}
		byRank = append(byRank, make([]int32, rank-len(byRank))...)
		byRank = append(byRank, int32(tokens))
	}
	return byRank
}

// backlogFromProto counts a backlog without ranks as most urgent, that is, ahead of
// every request.
func backlogFromProto(l *nodesyncv1.Load) placement.PrefillBacklog {
	var backlog placement.PrefillBacklog
	byRank := l.GetPrefillByRank()
	if len(byRank) == 0 {
		backlog[0] = int(l.GetPrefill())
	}
	for rank, tokens := range byRank[:min(len(byRank), placement.Ranks)] {
		backlog[rank] = int(tokens)
	}
	return backlog
}

func placementsToProto(list []placement.Placement) []*nodesyncv1.Placement {
	converted := make([]*nodesyncv1.Placement, 0, len(list))
	for _, p := range list {
		converted = append(converted, &nodesyncv1.Placement{Replica: p.Replica, Parts: p.Parts})
	}
	return converted
}

func placementsFromProto(list []*nodesyncv1.Placement) []placement.Placement {
	converted := make([]placement.Placement, 0, len(list))
	for _, p := range list {
		converted = append(converted, placement.Placement{Replica: p.GetReplica(), Parts: p.GetParts()})
	}
	return converted
}
