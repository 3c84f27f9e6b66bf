package crashcause

import "github.com/prometheus/client_golang/prometheus"

// RegisterMetrics registers the number of causes.
func RegisterMetrics(registry prometheus.Registerer, t *Tracker) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trestle_crash_causes", Help: "Parts of prompts and contents of calls that this node takes for the cause of crashes of replicas.",
	}, func() float64 { return float64(t.CountCauses()) }))
}
