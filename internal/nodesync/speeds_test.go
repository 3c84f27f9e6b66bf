package nodesync

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"galenatrestle/internal/placement"
	"galenatrestle/internal/replicaspeed"
)

func TestSpeedsOfALoadAreToldInFewBytes(t *testing.T) {
	plain := placement.Load{Replica: "engine-0012", Running: 9, RunningShort: 7, TokensInMemory: 9000}
	told := plain
	told.Prefill = replicaspeed.Observed{Weight: 14.3, LogSum: -9.2}
	told.Decode = replicaspeed.Observed{Weight: 61.7, LogSum: 12.4}
	without, with := loadsToProto([]placement.Load{plain})[0], loadsToProto([]placement.Load{told})[0]
	if added := proto.Size(with) - proto.Size(without); added > 12 {
		t.Errorf("speeds take %d bytes", added)
	}
	got := loadsFromProto(loadsToProto([]placement.Load{told}))[0]
	for _, pair := range [][2]float64{
		{got.Prefill.Weight, told.Prefill.Weight}, {got.Prefill.LogSum, told.Prefill.LogSum},
		{got.Decode.Weight, told.Decode.Weight}, {got.Decode.LogSum, told.Decode.LogSum},
	} {
		if math.Abs(pair[0]-pair[1]) > 1.0/speedUnits {
			t.Errorf("%.3f is told as %.3f", pair[1], pair[0])
		}
	}
}

// Guards against a node with wrong values: its mean is bounded.
func TestWrongSpeedsAreBounded(t *testing.T) {
	wrong := loadsToProto([]placement.Load{{Replica: "r", Prefill: replicaspeed.Observed{Weight: 2, LogSum: math.Inf(1)}}})
	if got := loadsFromProto(wrong)[0].Prefill; got.LogSum > got.Weight*math.Log(8)+0.01 {
		t.Errorf("taken as %+v", got)
	}
}
