package ratelimit

import "github.com/prometheus/client_golang/prometheus"

// RegisterMetrics registers gauges of the table's limits in force.
func RegisterMetrics(registry prometheus.Registerer, t *Table) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trestle_rate_limited_replicas", Help: "Replicas that name a rate at which they take requests.",
	}, func() float64 { return t.count(func(l Limit) bool { return !l.Lifted }) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "trestle_brittle_replicas", Help: "Replicas that said that they are brittle: refusing many requests ends them.",
		}, func() float64 { return t.count(func(l Limit) bool { return l.Brittle.Brittle }) }))
}

// HasBrittle reports whether any replica is brittle.
func (t *Table) HasBrittle() bool {
	return t.count(func(l Limit) bool { return l.Brittle.Brittle }) > 0
}

// count returns the number of limits in force of a kind.
func (t *Table) count(is func(Limit) bool) float64 {
	n := 0.0
	for _, l := range t.InForce() {
		if is(l) {
			n++
		}
	}
	return n
}

// RegisterSlotMetrics registers gauges of the slots that this node gives out.
func RegisterSlotMetrics(registry prometheus.Registerer, i *SlotIssuer) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trestle_brittle_slots_in_use", Help: "Slots of brittle replicas that this node gives out and that are in use, with requests that were sent without asking.",
	}, func() float64 { return i.sum((*slotBook).used) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "trestle_brittle_slot_asks_waiting", Help: "Asks of nodes that wait for a slot that this node gives out.",
		}, func() float64 { return i.sum(func(b *slotBook) int { return len(b.waiting) }) }))
}

// sum returns the sum over all replicas.
func (i *SlotIssuer) sum(of func(*slotBook) int) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for _, b := range i.books {
		n += of(b)
	}
	return float64(n)
}
