package peer

import "github.com/prometheus/client_golang/prometheus"

// The labels of a reload's result.
const (
	reloadDone   = "done"
	reloadFailed = "failed"
)

// register adds the collector or returns the one that is there already.
func register[C prometheus.Collector](registerer prometheus.Registerer, collector C) C {
	err := registerer.Register(collector)
	if already, ok := err.(prometheus.AlreadyRegisteredError); ok {
		return already.ExistingCollector.(C)
	}
	if err != nil {
		panic(err)
	}
	return collector
}

func newReloadCounter(registerer prometheus.Registerer) *prometheus.CounterVec {
	return register(registerer, prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_peer_key_reloads_total",
		Help: "Changed key files taken in, or found unusable, by result.",
	}, []string{"result"}))
}

func newRefusedCounter(registerer prometheus.Registerer) *prometheus.CounterVec {
	return register(registerer, prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_peer_refused_total",
		Help: "Peers refused for their key, by reason.",
	}, []string{"reason"}))
}

func newCallErrorCounter(registerer prometheus.Registerer) *prometheus.CounterVec {
	return register(registerer, prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_peer_call_errors_total",
		Help: "Calls to peers that got no response, by the first segment of the path.",
	}, []string{"service"}))
}
