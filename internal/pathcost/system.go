package pathcost

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/node"
	"galenatrestle/internal/standin/engine"
)

const (
	key       = "path-cost-key"
	model     = "trestle-llm"
	className = "counter"
	// slots is a batch no measurement fills, so that the engines add no
	// queueing of their own.
	slots = 4096
)

// system is one node before some engines.
type system struct {
	node    *node.Node
	engines []string
	servers []*http.Server
}

func startSystem(o Options) (*system, error) {
	s := &system{}
	for i := range o.Engines {
		if err := s.startEngine(i, o); err != nil {
			return nil, err
		}
	}
	return s, s.startNode()
}

func (s *system) startEngine(i int, o Options) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	handler := engine.New(engine.Options{
		Name:          fmt.Sprintf("engine-%d", i),
		Model:         model,
		Slots:         slots,
		TokenInterval: o.TokenInterval,
	})
	server := &http.Server{Handler: handler}
	s.engines = append(s.engines, listener.Addr().String())
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *system) startNode() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.node = node.New(node.Options{Name: "vm-0", AvailabilityZone: "zone-0", Entry: listener, Log: log, Seed: 1})
	document, err := config.Parse([]byte(s.document()))
	if err != nil {
		return err
	}
	s.node.Configure(config.NewIndex(1, document))
	s.node.Start()
	return nil
}

func (s *system) document() string {
	var b strings.Builder
	fmt.Fprintf(&b, "workspaces:\n  - {name: bench, key_sha256: [%s], classes: [%s], upstreams: [%s]}\n", sumOf(key), className, model)
	fmt.Fprintf(&b, "classes:\n  - {name: %s, tier: 0, target_answer: 30s, give_up_after: 60s, queue_bound: 100000}\n", className)
	fmt.Fprintf(&b, "upstreams:\n  - name: %s\n    kind: engine\n    slots_per_replica: %d\n    replicas:\n", model, slots)
	for i, address := range s.engines {
		fmt.Fprintf(&b, "      - {name: engine-%d, address: %q, availability_zone: zone-0}\n", i, address)
	}
	return b.String()
}

func (s *system) close() {
	s.node.Close()
	for _, server := range s.servers {
		_ = server.Close()
	}
}
