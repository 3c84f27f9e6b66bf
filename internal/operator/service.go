package operator

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/configsync"
	"galenatrestle/internal/gen/trestle/operator/v1/operatorv1connect"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/settings"
	"galenatrestle/internal/yamldoc"
)

// maxMessageBytes bounds a call: a document and a little.
const maxMessageBytes = yamldoc.MaxBytes + 64<<10

// Options are what a Service needs.
type Options struct {
	Sync       *configsync.Syncer
	Current    *configsync.Current
	Repository *configsync.Repository
	View       membership.View
	// Planners keep the plans of kinds other than config.
	Planners []Planner
	// Entries and Inspector may be nil: the calls then answer that the node
	// has none.
	Entries   Entries
	Inspector Inspector
	// Absent returns the VMs that are registered to serve but are no members;
	// nil where the node does not know.
	Absent func(ctx context.Context) ([]string, error)
	// Operators are those who may call.
	Operators []settings.Operator
	Log       logrus.FieldLogger
	Registry  prometheus.Registerer
}

// Service answers operators.
type Service struct {
	operatorv1connect.UnimplementedOperatorServiceHandler
	sync       *configsync.Syncer
	current    *configsync.Current
	repository *configsync.Repository
	view       membership.View
	planners   []Planner
	entries    Entries
	inspector  Inspector
	absent     func(ctx context.Context) ([]string, error)
}

// NewHandler returns the service's path and handler for the ops listener.
func NewHandler(options Options) (path string, handler http.Handler) {
	service := &Service{
		sync:       options.Sync,
		current:    options.Current,
		repository: options.Repository,
		view:       options.View,
		entries:    options.Entries,
		inspector:  options.Inspector,
		absent:     options.Absent,
	}
	service.planners = append([]Planner{newConfigPlanner(options)}, options.Planners...)
	guard := newGuard(options.Operators, newMetrics(options.Registry), options.Log)
	return operatorv1connect.NewOperatorServiceHandler(service,
		connect.WithInterceptors(guard.interceptor()),
		connect.WithReadMaxBytes(maxMessageBytes),
	)
}
