package fleetsim

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"galenatrestle/internal/placement"
	"galenatrestle/internal/zonetraffic"
)

// zoneDeployments is the number of random deployments to play. 20 take about three minutes.
var zoneDeployments = flag.Int("zone-deployments", 2, "random deployments of TestRandomDeploymentsAreNearTheirBestConstantCost")

// zoned is a fleet of three zones that are half busy, whose callers use the nodes of their zone.
func zoned(seed uint64) Scenario {
	s := steadyLoad(seed)
	s.Nodes, s.Engines, s.Length = 12, 36, 16*time.Second
	for i := range s.Classes {
		s.Classes[i].PerSecond *= 2
		s.Classes[i].Sessions *= 2
	}
	s.Zones = &ZoneModel{Latency: 1500 * time.Microsecond, RequestsPerGigabyte: 1000, ZoneCost: 3}
	return s
}

func withTraffic(s *Scenario) {
	s.Zones.Traffic = &zonetraffic.Policy{RequestsPerGigabyte: s.Zones.RequestsPerGigabyte, MaxShare: 1}
}

// atLoads is zoned with the zones at these multiples of their usual load.
func atLoads(loads ...float64) func(uint64) Scenario {
	return func(seed uint64) Scenario {
		s := zoned(seed)
		for zone, load := range loads {
			s.Zones.Bursts = append(s.Zones.Bursts, ZoneBurst{zone, 0, time.Minute, load})
		}
		return s
	}
}

// zoneValue plays the scenario and returns its value and what left the zones, in parts of the calls.
func zoneValue(t *testing.T, name string, s Scenario) (value, left float64, r *Report) {
	t.Helper()
	r = Play(s)
	value, left = r.Value(s.Zones.RequestsPerGigabyte), float64(r.Zones.Left)/float64(max(r.Zones.Asked, 1))
	t.Logf("%s: value %.3f, on time %.3f, %.3f left with %.2f MB", name, value, r.OnTimeShare(), left, r.Zones.Bytes/1e6)
	return value, left, r
}

// Guards against a hot zone that keeps its load to itself, and against one that sends away more than
// it must.
func TestOneHotZoneUsesTheRoomOfOthers(t *testing.T) {
	t.Parallel()
	hot := atLoads(1.7*2.6, 0.02, 0.02)
	before, _, all := zoneValue(t, "constant", hot(1))
	closed := hot(1)
	withTraffic(&closed)
	closed.Zones.Traffic.MaxShare = 0
	alone, _, _ := zoneValue(t, "max_share 0", closed)
	s := hot(1)
	withTraffic(&s)
	value, left, r := zoneValue(t, "zone_traffic", s)
	if value < before-0.01 || value < alone+0.01 {
		t.Errorf("value %.3f, %.3f with the constant and %.3f alone", value, before, alone)
	}
	if left < 0.1 || r.Zones.Bytes > 0.8*all.Zones.Bytes {
		t.Errorf("%.3f left with %.2f MB, %.2f MB with the constant", left, r.Zones.Bytes/1e6, all.Zones.Bytes/1e6)
	}
}

// Guards against zones that exchange their overload: it costs bytes and time and serves nobody sooner.
func TestNothingLeavesWhenAllZonesAreFull(t *testing.T) {
	t.Parallel()
	full := atLoads(5, 5, 5)
	before, _, _ := zoneValue(t, "constant", full(1))
	s := full(1)
	withTraffic(&s)
	value, left, _ := zoneValue(t, "zone_traffic", s)
	if left > 0.05 || value < before-0.01 {
		t.Errorf("%.3f left, value %.3f, %.3f with the constant", left, value, before)
	}
}

// turns counts how often the values change their direction.
func turns(values []float64) int {
	count, direction := 0, 0.0
	for i := 1; i < len(values); i++ {
		move := values[i] - values[i-1]
		if move*direction < 0 {
			count++
		}
		if move != 0 {
			direction = move
		}
	}
	return count
}

// shares plays the scenario and returns the part for each destination at each node and flow, every 100 ms.
func shares(s *Scenario) (map[string][]float64, *Report) {
	samples := make(map[string][]float64)
	s.Zones.Sample = func(_ time.Duration, node, zone string, p *placement.Placer) {
		for _, long := range []bool{false, true} {
			for to := range zones {
				if name := fmt.Sprintf("z%d", to); name != zone {
					key := fmt.Sprintf("%s in %s to %s long=%t", node, zone, name, long)
					samples[key] = append(samples[key], p.ZoneShare(upstream, name, long))
				}
			}
		}
	}
	return samples, Play(*s)
}

// Guards against nodes that all leave and all come back at once on loads that are 0.2 to 0.4 s old.
func TestPartsDoNotSwingAtSteadyLoad(t *testing.T) {
	t.Parallel()
	for name, scenario := range map[string]func(uint64) Scenario{"even": zoned, "hot": atLoads(2.6, 0.3, 0.3), "full": atLoads(3, 3, 3)} {
		s := scenario(1)
		withTraffic(&s)
		samples, _ := shares(&s)
		for key, values := range samples {
			for i := 0; i+100 <= len(values); i += 10 {
				if n := turns(values[i : i+100]); n > 2 {
					t.Errorf("%s, %s: %d turns within 10 s: %.2f", name, key, n, values[i:i+100])
					break
				}
			}
		}
	}
}

// Guards against requests that are sent away on loads that are no longer known.
func TestStaleLoadsSendNothingAway(t *testing.T) {
	t.Parallel()
	s := atLoads(2.6, 0.02, 0.02)(1)
	withTraffic(&s)
	s.Zones.SilentFrom = 6 * time.Second
	samples, r := shares(&s)
	t.Logf("on time %.3f", r.OnTimeShare())
	sent := 0.0
	for key, values := range samples {
		for i, share := range values {
			if i < 60 {
				sent = max(sent, share)
			} else if i > 75 && share > 0 {
				t.Fatalf("%s: %.2f may leave %.1f s after the last news", key, share, float64(i-60)/10)
			}
		}
	}
	if sent == 0 {
		t.Error("nothing could leave before: the load is no test")
	}
}

// Guards against requests that are sent around a ring of zones: what one zone sends to the next must
// not displace requests that come back.
func TestNoRingOfZones(t *testing.T) {
	t.Parallel()
	s := atLoads(2.6, 1.5, 0.3)(1)
	withTraffic(&s)
	samples, _ := shares(&s)
	for _, long := range []bool{false, true} {
		for i := 20; i < len(samples["vm-0 in z0 to z1 long=true"]); i++ {
			share := func(from, to int) float64 {
				return samples[fmt.Sprintf("vm-%d in z%d to z%d long=%t", from, from, to, long)][i]
			}
			for _, ring := range [][]float64{{share(0, 1), share(1, 2), share(2, 0)}, {share(1, 0), share(2, 1), share(0, 2)}} {
				if slices.Min(ring) > 0.1 {
					t.Errorf("a ring of zones after %d ms: %.2f", 100*i, ring)
				}
			}
		}
	}
}

// Guards against a zone that waits for replicas that it has lost, and against halves of a fleet that
// send away what they take for room.
func TestTroubleCostsNoMoreThanWithTheConstant(t *testing.T) {
	t.Parallel()
	for name, trouble := range map[string]func(*ZoneModel){
		"a zone loses half of its replicas": func(m *ZoneModel) {
			m.Losses = []ZoneLoss{{Zone: 1, At: 5 * time.Second, For: 8 * time.Second, Engines: 6}}
		},
		"the fleet is cut in two": func(m *ZoneModel) { m.HalvesFrom = 5 * time.Second },
	} {
		before, after := 0.0, 0.0
		for seed := range uint64(2) {
			s := atLoads(1.5, 1.5, 1.5)(seed)
			trouble(s.Zones)
			value, _, _ := zoneValue(t, name+", constant", s)
			withTraffic(&s)
			traffic, _, _ := zoneValue(t, name, s)
			before, after = before+value/2, after+traffic/2
		}
		if after < before-0.01 {
			t.Errorf("%s: value %.3f, %.3f with the constant", name, after, before)
		}
	}
}

// randomZones is a deployment with random loads, latency between 0.2 and 10 ms, and a price of 100 to
// 10,000 requests per gigabyte.
func randomZones(seed uint64) Scenario {
	random := rand.New(rand.NewPCG(seed, 77))
	s := atLoads(0.3+2*random.Float64(), 0.3+2*random.Float64(), 0.3+2*random.Float64())(seed)
	s.Zones.Latency = time.Duration(float64(200*time.Microsecond) * math.Pow(50, random.Float64()))
	s.Zones.RequestsPerGigabyte = 100 * math.Pow(100, random.Float64())
	s.Zones.Roaming = random.Float64()
	s.Copies = random.IntN(4) > 0
	return s
}

// Guards against a price, latency or load at which the decisions serve less than a constant cost does.
func TestRandomDeploymentsAreNearTheirBestConstantCost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*zoneDeployments) {
		best := math.Inf(-1)
		for _, cost := range []float64{0.3, 3, 30, 300} {
			best = max(best, deploymentValue(t, seed, func(s *Scenario) { s.Zones.ZoneCost = cost }))
		}
		if value := deploymentValue(t, seed, withTraffic); value < best-0.02 {
			t.Errorf("deployment %d: value %.3f, the best constant's %.3f", seed, value, best)
		} else {
			t.Logf("deployment %d: value %.3f, the best constant's %.3f", seed, value, best)
		}
	}
}

// deploymentValue is the mean value of two plays of the random deployment.
func deploymentValue(t *testing.T, deployment uint64, change func(*Scenario)) float64 {
	t.Helper()
	sum := 0.0
	for seed := range uint64(2) {
		s := randomZones(deployment)
		s.Seed = seed
		change(&s)
		m := s.Zones
		name := fmt.Sprintf("%d: latency %s, price %.0f, roaming %.2f, copies %t, cost %v, traffic %t", deployment, m.Latency, m.RequestsPerGigabyte, m.Roaming, s.Copies, m.ZoneCost, m.Traffic != nil)
		value, _, _ := zoneValue(t, name, s)
		sum += value / 2
	}
	return sum
}
