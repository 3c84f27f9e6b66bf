package membership

import "github.com/prometheus/client_golang/prometheus"

// Register exports the protocol's event counts and the number of members by state.
func (r *Runner) Register(registerer prometheus.Registerer) {
	events := []struct {
		name, help string
		value      func(Counts) int64
	}{
		{"probes", "Heartbeats sent.", func(c Counts) int64 { return c.Probes }},
		{"probe_failures", "Heartbeats without an answer.", func(c Counts) int64 { return c.ProbeFailures }},
		{"indirect_probes", "Probes asked of other members.", func(c Counts) int64 { return c.IndirectProbes }},
		{"suspicions", "Members that became suspect here.", func(c Counts) int64 { return c.Suspicions }},
		{"refutations", "Doubts in this node that it refuted.", func(c Counts) int64 { return c.Refutations }},
		{"deaths", "Members declared dead here.", func(c Counts) int64 { return c.Deaths }},
		{"whole_tables", "Whole tables sent.", func(c Counts) int64 { return c.FullSyncs }},
		{"pushes", "Messages sent at once for urgent news.", func(c Counts) int64 { return c.Pushes }},
		{"syncs_handled", "Messages of peers answered.", func(c Counts) int64 { return c.SyncsHandled }},
	}
	for _, event := range events {
		collector := prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "trestle_membership_" + event.name + "_total",
			Help: event.help,
		}, func() float64 { return float64(event.value(r.Counts())) })
		registerer.MustRegister(collector)
	}
	r.registerStates(registerer)
}

func (r *Runner) registerStates(registerer prometheus.Registerer) {
	for _, state := range []State{StateServing, StateSuspect, StateLeaving} {
		collector := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "trestle_membership_members",
			Help:        "Members of the region by state.",
			ConstLabels: prometheus.Labels{"state": string(state)},
		}, func() float64 { return float64(r.countState(state)) })
		registerer.MustRegister(collector)
	}
}

func (r *Runner) countState(state State) int {
	n := 0
	for _, m := range r.Members() {
		if m.State == state {
			n++
		}
	}
	return n
}
