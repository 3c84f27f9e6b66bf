package embedded

import (
	"fmt"
	"net"
	"net/http"

	"galenatrestle/internal/config"
	"galenatrestle/internal/platform/memstore"
	"galenatrestle/internal/standin"
	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/platform"
	"galenatrestle/internal/standin/service"
)

// Names of the upstreams whose replicas are started.
const (
	engineUpstream  = "trestle-llm"
	serviceUpstream = "member-ledger"
)

// platformName names the platform stand-in's switches.
const platformName = "platform"

// standins are the outside systems of one deployment.
type standins struct {
	named    map[string]standin.Standin
	engines  []*engine.Engine
	services []*service.Service
	data     ConfigData
	platform *memstore.Store
	// platformAddress is where the platform stand-in listens.
	platformAddress string
	servers         []*http.Server
}

// startStandins starts the engines and plain services on free loopback ports.
func startStandins(options Options) (*standins, error) {
	s := &standins{named: make(map[string]standin.Standin)}
	if err := s.startPlatform(options); err != nil {
		return nil, err
	}
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

func (s *standins) startPlatform(options Options) error {
	s.platform = memstore.New(options.Platform)
	address, err := s.serve(platformName, platform.API(s.platform))
	s.platformAddress = address
	return err
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
	address, err := s.serve(name, handler)
	if err != nil {
		return config.Replica{}, err
	}
	s.named[name] = imitated
	return config.Replica{Name: name, Address: address, AvailabilityZone: zone}, nil
}

// serve answers on a free loopback port and returns its address.
func (s *standins) serve(name string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for stand-in %s: %w", name, err)
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *standins) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}
