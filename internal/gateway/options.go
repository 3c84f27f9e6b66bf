package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/dispatch"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/upstream"
)

// Options are what a Server works with.
type Options struct {
	// Node is the VM's name.
	Node string
	// Config returns the configuration in force, nil before the first.
	Config func() *config.Index
	// Members is the picture of the nodes.
	Members membership.View
	// Dispatch binds requests to replicas.
	Dispatch *dispatch.Dispatcher
	// Engines and Services call the upstreams.
	Engines  *upstream.Engine
	Services *upstream.Service
	// Registry takes the metrics.
	Registry prometheus.Registerer
	// Log takes one line a refusal and a failed attempt.
	Log logrus.FieldLogger
}
