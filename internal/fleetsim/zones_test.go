package fleetsim

import (
	"testing"
	"time"

	"galenatrestle/internal/zonetraffic"
)

// zoned is a fleet of three zones that are half busy, whose callers use the nodes of their zone.
func zoned(seed uint64) Scenario {
	s := steadyLoad(seed)
	s.Nodes, s.Length = 12, 16*time.Second
	s.Zones = &ZoneModel{Latency: 1500 * time.Microsecond, RequestsPerGigabyte: 1000, ZoneCost: 3}
	return s
}

func withTraffic(s *Scenario) {
	s.Zones.Traffic = &zonetraffic.Policy{RequestsPerGigabyte: s.Zones.RequestsPerGigabyte, MaxShare: 1}
}

// oneHotZone is a zone at 2.6 times its usual load while the others are idle.
func oneHotZone(seed uint64) Scenario {
	s := zoned(seed)
	s.Zones.Bursts = []ZoneBurst{{0, 0, time.Minute, 2.6}, {1, 0, time.Minute, 0.02}, {2, 0, time.Minute, 0.02}}
	return s
}

func TestTrialZones(t *testing.T) {
	for name, scenario := range map[string]func(uint64) Scenario{"steady": zoned, "hot": oneHotZone,
		"full": func(seed uint64) Scenario { s := zoned(seed); s.Zones.Bursts = []ZoneBurst{{0, 0, time.Minute, 2.6}, {1, 0, time.Minute, 2.6}, {2, 0, time.Minute, 2.6}}; return s },
		"roaming": func(seed uint64) Scenario { s := zoned(seed); s.Zones.Roaming = 1; return s },
	} {
		for _, cost := range []float64{0.3, 3, 30, 300, -1} {
			value, left, asked, gb, ontime, again := 0.0, 0, 0, 0.0, 0.0, 0
			for _, seed := range []uint64{1, 2} {
				s := scenario(seed)
				if s.Zones.ZoneCost = cost; cost < 0 {
					withTraffic(&s)
				}
				r := Play(s)
				value += r.Value(1000) / 2
				ontime += r.OnTimeShare() / 2
				left, asked, gb, again = left+r.Zones.Left, asked+r.Zones.Asked, gb+r.Zones.Bytes/1e9, again+r.ReadAgain
			}
			t.Logf("%s %5.1f: value %.3f on time %.3f left %.3f GB %.4f again %d", name, cost, value, ontime, float64(left)/float64(asked), gb, again)
		}
	}
}
