package node

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"galenatrestle/internal/config"
	"galenatrestle/internal/configsync"
	"galenatrestle/internal/errs"
	"galenatrestle/internal/gen/trestle/configsync/v1/configsyncv1connect"
	"galenatrestle/internal/platform"
)

// configuration keeps the node at the newest revision and passes it on. A node
// without a platform has none and is given its configuration by Configure.
type configuration struct {
	current    *configsync.Current
	repository *configsync.Repository
	syncer     *configsync.Syncer
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// newConfiguration creates the part and mounts its handler on the peer
// listener; it returns nil for a node without a platform.
func newConfiguration(n *Node) *configuration {
	if n.options.Store == nil {
		return nil
	}
	c := &configuration{
		current:    configsync.NewCurrent(),
		repository: configsync.NewRepository(n.dutyStore(configBudget), uuid.NewString, time.Now),
	}
	c.syncer = configsync.New(configsync.Options{
		Repository:     c.repository,
		Current:        c.current,
		View:           n.members.runner,
		Peers:          configsync.NewConnectPeers(n.peers.clients),
		Contacts:       n.members.contacts,
		NewestRevision: func() int64 { return n.members.runner.View().NewestRevision() },
		InForce:        n.Configure,
		Seed:           n.options.Seed,
		Log:            n.options.Log,
		Registry:       n.options.Registry,
	})
	n.peers.server.Mount(configsyncv1connect.NewConfigSyncServiceHandler(configsync.NewHandler(c.syncer)))
	return c
}

func (c *configuration) start() {
	if c == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.running.Go(func() { _ = c.syncer.Run(ctx) })
}

func (c *configuration) close() {
	if c == nil || c.cancel == nil {
		return
	}
	c.cancel()
	c.running.Wait()
}

// contacts returns the seeds and nodes of other regions.
func (m *members) contacts() []string {
	contacts := append([]string(nil), m.options.Seeds...)
	for _, region := range m.runner.View().Regions() {
		contacts = append(contacts, region.Contacts...)
	}
	return contacts
}

// Accept proposes and confirms a checked document, without an operator. It
// returns its revision, which is in force here then.
func (n *Node) Accept(ctx context.Context, document *config.Document, author string) (int64, error) {
	if n.sync == nil {
		return 0, errs.Wrap(errs.Operator, platform.ErrUnavailable, "accept configuration", "no platform")
	}
	record, err := n.sync.syncer.Accept(ctx, configsync.Request{Document: document, Author: author})
	return record.Revision, err
}

// ConfigRevision returns the revision in force here, or zero.
func (n *Node) ConfigRevision() int64 {
	index := n.config.Load()
	if index == nil {
		return 0
	}
	return index.Revision()
}
