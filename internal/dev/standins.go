package dev

import (
	"fmt"
	"net"
	"net/http"

	"galenatrestle/internal/standin"
	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/service"
)

// Sizes of the embedded deployment.
const (
	engineReplicas  = 4
	serviceReplicas = 2
	answerSeed      = 7
)

// zones are the two availability zones of the embedded deployment.
var zones = []string{"saskatoon-hall", "regina-hall"}

// standins are the outside systems of one embedded deployment.
type standins struct {
	named    map[string]standin.Standin
	engines  []replicaAddress
	services []replicaAddress
	servers  []*http.Server
}

// startStandins starts the engines and plain services on free loopback ports.
func startStandins() (*standins, error) {
	s := &standins{named: make(map[string]standin.Standin)}
	for i := range engineReplicas {
		e := engine.New(engine.Options{
			Name:           fmt.Sprintf("trestle-llm-%d", i),
			Model:          "trestle-llm",
			Seed:           answerSeed,
			HonoursFencing: true,
		})
		replica, err := s.start(fmt.Sprintf("trestle-llm-%d", i), zones[i%len(zones)], e, e)
		if err != nil {
			return nil, err
		}
		s.engines = append(s.engines, replica)
	}
	for i := range serviceReplicas {
		name := fmt.Sprintf("member-ledger-%d", i)
		ledger := service.New(service.Options{Name: name})
		replica, err := s.start(name, zones[i%len(zones)], ledger, ledger)
		if err != nil {
			return nil, err
		}
		s.services = append(s.services, replica)
	}
	return s, nil
}

func (s *standins) start(name, zone string, imitated standin.Standin, handler http.Handler) (replicaAddress, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return replicaAddress{}, fmt.Errorf("listen for stand-in %s: %w", name, err)
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	s.named[name] = imitated
	go func() { _ = server.Serve(listener) }()
	return replicaAddress{Name: name, Address: listener.Addr().String(), Zone: zone}, nil
}

func (s *standins) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}
