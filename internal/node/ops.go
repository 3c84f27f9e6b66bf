package node

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// opsHandler answers on the ops address: metrics, health and what Options add.
func (n *Node) opsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.options.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", n.health)
	n.mountOperator(mux)
	for pattern, handler := range n.options.OpsHandlers {
		mux.Handle(pattern, handler)
	}
	return mux
}

// health answers 200 while the node serves and has a configuration.
func (n *Node) health(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case n.config.Load() == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}
