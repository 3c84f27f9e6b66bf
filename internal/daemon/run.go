package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"galenatrestle/internal/logging"
	"galenatrestle/internal/node"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/platform/httpstore"
	"galenatrestle/internal/settings"
)

// stopTimeout bounds the graceful stop: the longest answer a class allows is
// given up before it.
const stopTimeout = 15 * time.Minute

// Check reads the settings file and reports what is wrong with it.
func Check(path string) error {
	_, err := settings.Load(path)
	return err
}

// Run serves by the settings file until ctx ends, then stops gracefully. A node
// of pass-through routes logs to Stdout, another one to Stderr.
func Run(ctx context.Context, o Options) error {
	loaded, err := settings.Load(o.SettingsPath)
	if err != nil {
		return err
	}
	if loaded.PassThrough != nil {
		return runPassThrough(ctx, loaded, o)
	}
	options, err := nodeOptions(loaded, o.Stderr)
	if err != nil {
		return err
	}
	n := node.New(options)
	go options.PeerKeys.Run(ctx, func(err error) {
		options.Log.WithError(err).WithField("step", "reload keys").Warn("the old keys stay in force")
	})
	n.Start()
	options.Log.WithFields(map[string]any{
		"entry": options.Entry.Addr().String(),
		"ops":   options.Ops.Addr().String(),
		"peer":  options.Peer.Addr().String(),
	}).Info("serving")
	<-ctx.Done()
	options.Log.Info("stopping")
	stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return n.Stop(stopping)
}

func nodeOptions(s *settings.Settings, stderr io.Writer) (node.Options, error) {
	log, err := logging.New(stderr, string(s.Log.Format), s.Log.Level)
	if err != nil {
		return node.Options{}, err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	keys, err := peer.NewKeys(keyFiles(s.TLS), registry)
	if err != nil {
		return node.Options{}, err
	}
	store := httpstore.New(httpstore.Config{
		Address:   s.Platform.Addresses[0],
		Transport: newFailover(s.Platform.Addresses).transport(),
	})
	options := node.Options{
		Name:             s.Name,
		AvailabilityZone: s.AvailabilityZone,
		Region:           s.Region,
		DataCentre:       s.DataCentre,
		EntryAddress:     s.Advertise.Entry,
		PeerAddress:      s.Advertise.Peer,
		Seeds:            s.Peers.Seeds,
		Counterparts:     s.Handover.Counterparts,
		Home:             home(s.Handover.Away),
		PeerKeys:         keys,
		Operators:        s.Operators,
		Claims:           s.Claims,
		Store:            store,
		Instances:        store,
		Seed:             uint64(time.Now().UnixNano()),
		Registry:         registry,
		Log:              log.WithField("node", s.Name),
	}
	return options, listenAll(s, &options)
}

// home says that all upstreams are served here but those that are away.
func home(away []string) func(upstream, workspace string) bool {
	return func(upstream, _ string) bool { return !slices.Contains(away, upstream) }
}

func keyFiles(t settings.TLS) peer.KeyFiles {
	return peer.KeyFiles{Certificate: t.CertificateFile, Key: t.KeyFile, Authorities: t.AuthorityFile}
}

// listenAll opens the three listeners.
func listenAll(s *settings.Settings, options *node.Options) error {
	var err error
	if options.Entry, err = listen("listen", s.Listen); err != nil {
		return err
	}
	if options.Ops, err = listen("ops_listen", s.OpsListen); err != nil {
		return err
	}
	options.Peer, err = listen("peer_listen", s.PeerListen)
	return err
}

func listen(field, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("settings field %s, value %q: %w", field, address, err)
	}
	return listener, nil
}
