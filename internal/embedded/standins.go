package embedded

import (
	"fmt"
	"net"
	"net/http"

	"galenatrestle/internal/config"
	"galenatrestle/internal/standin"
	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/service"
)

// Names of the upstreams whose replicas are started.
const (
	engineUpstream  = "trestle-llm"
	serviceUpstream = "member-ledger"
)

// standins are the outside systems of one deployment.
type standins struct {
	named    map[string]standin.Standin
	engines  []*engine.Engine
	services []*service.Service
	data     ConfigData
	servers  []*http.Server
}

// startStandins starts the engines and plain services on free loopback ports.
func startStandins(options Options) (*standins, error) {
	s := &standins{named: make(map[string]standin.Standin)}
	for i := range options.Engines {
		if err := s.startEngine(i, options); err != nil {
			return nil, err
		}
	}
	for i := range options.Services {
		if err := s.startService(i, options); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *standins) startEngine(i int, options Options) error {
	settings := options.Engine
	settings.Name = fmt.Sprintf("%s-%d", engineUpstream, i)
	settings.Model = engineUpstream
	settings.Seed = options.Seed
	e := engine.New(settings)
	replica, err := s.start(settings.Name, zoneOf(i, options), e, e)
	s.engines = append(s.engines, e)
	s.data.Engines = append(s.data.Engines, replica)
	return err
}

func (s *standins) startService(i int, options Options) error {
	settings := options.Service
	settings.Name = fmt.Sprintf("%s-%d", serviceUpstream, i)
	ledger := service.New(settings)
	replica, err := s.start(settings.Name, zoneOf(i, options), ledger, ledger)
	s.services = append(s.services, ledger)
	s.data.Services = append(s.data.Services, replica)
	return err
}

func zoneOf(i int, options Options) string { return options.Zones[i%len(options.Zones)] }

func (s *standins) start(name, zone string, imitated standin.Standin, handler http.Handler) (config.Replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return config.Replica{}, fmt.Errorf("listen for stand-in %s: %w", name, err)
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	s.named[name] = imitated
	go func() { _ = server.Serve(listener) }()
	return config.Replica{Name: name, Address: listener.Addr().String(), AvailabilityZone: zone}, nil
}

func (s *standins) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}
