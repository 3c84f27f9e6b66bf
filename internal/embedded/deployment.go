package embedded

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/gateway"
	"galenatrestle/internal/node"
	"galenatrestle/internal/platform/memstore"
	"galenatrestle/internal/settings"
	"galenatrestle/internal/standin"
	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/platform"
	"galenatrestle/internal/standin/service"
)

// Deployment is a whole system in one process.
type Deployment struct {
	Nodes    []*node.Node
	options  Options
	standins *standins
	document config.Document
	// links are the nodes' peer addresses.
	links []string
	// clients are the nodes' links to the platform.
	clients []*platformClient
}

// Start starts a deployment on loopback.
func Start(options Options) (*Deployment, error) {
	options = options.withDefaults()
	imitated, err := startStandins(options)
	if err != nil {
		return nil, err
	}
	d := &Deployment{options: options, standins: imitated}
	if err := d.startNodes(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startNodes() error {
	text, err := render(d.options.Config, d.standins.data)
	if err != nil {
		return err
	}
	document, err := config.Parse(text)
	if err != nil {
		return err
	}
	setQuotas(document, d.options.Quotas)
	for i := range d.options.Nodes {
		n, err := d.newNode(i)
		if err != nil {
			return err
		}
		d.Nodes = append(d.Nodes, n)
	}
	d.document = *document
	return d.connect(document)
}

func (d *Deployment) newNode(i int) (*node.Node, error) {
	return d.newNodeAt(i, d.options.ListenBase)
}

// newNodeAt creates the i-th node with its entry on the port base+i.
func (d *Deployment) newNodeAt(i, base int) (*node.Node, error) {
	entry, err := listen(base, i)
	if err != nil {
		return nil, err
	}
	link, err := d.options.peer(len(d.links))
	if err != nil {
		return nil, err
	}
	name := d.options.nodeName(i)
	client := newPlatformClient(d.standins.platformAddress)
	d.setClient(i, client)
	options := node.Options{
		Name:             name,
		AvailabilityZone: zoneOf(i, d.options),
		Region:           "region-0",
		DataCentre:       d.options.DataCentre,
		Counterparts:     d.options.Counterparts,
		Home:             d.options.home,
		Entry:            entry,
		Peer:             link,
		Seeds:            d.links,
		OwnSlots:         d.options.OwnSlots,
		Store:            client.store,
		Instances:        client.store,
		Operators:        []settings.Operator{{Name: OperatorName, KeySHA256: config.HashKey(OperatorKey)}},
		KeepTime:         d.options.KeepTime,
		Seed:             d.options.Seed + uint64(len(d.links)),
		Registry:         prometheus.NewRegistry(),
		Log:              d.options.Log.WithField("node", name),
	}
	if d.options.DialReplica != nil {
		options.DialReplica = d.options.DialReplica(i)
	}
	d.links = append(d.links, link.Addr().String())
	if i == 0 {
		options.Ops, err = listen(d.options.OpsPort, 0)
		if err != nil {
			return nil, err
		}
		options.OpsHandlers = d.switches()
	}
	return node.New(options), nil
}

// switches returns the handlers of the stand-ins' fault switches.
func (d *Deployment) switches() map[string]node.Handler {
	handler := standin.Handler(d.standins.named)
	return map[string]node.Handler{
		"/standin":                       handler,
		"/standin/":                      handler,
		"/standin/" + platformName + "/": platform.Switches(platformName, d.standins.platform),
	}
}

// listen takes the port base+i, or a free one where base is 0.
func listen(base, i int) (net.Listener, error) {
	port := 0
	if base != 0 {
		port = base + i
	}
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// joinTimeout bounds the wait until all nodes know each other, and joinPoll is
// the time between two looks.
const (
	joinTimeout = 30 * time.Second
	joinPoll    = 10 * time.Millisecond
	// configAuthor accepts the first configuration.
	configAuthor = "embedded"
)

// connect starts the nodes, waits until they know each other, and has the
// first one accept the configuration.
func (d *Deployment) connect(document *config.Document) error {
	for _, n := range d.Nodes {
		n.Start()
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	if err := await(ctx, d.joined); err != nil {
		return fmt.Errorf("the nodes do not know each other: %w", err)
	}
	revision, err := d.Nodes[0].Accept(ctx, document, configAuthor)
	if err != nil {
		return fmt.Errorf("accept the configuration: %w", err)
	}
	inForce := func() bool { return d.inForce(revision) }
	if err := await(ctx, inForce); err != nil {
		return fmt.Errorf("revision %d is not in force on all nodes: %w", revision, err)
	}
	if err := await(ctx, d.named); err != nil {
		return fmt.Errorf("the nodes do not all name each other to callers: %w", err)
	}
	return nil
}

// await looks until the condition holds or ctx ends.
func await(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(joinPoll):
		}
	}
	return nil
}

func (d *Deployment) inForce(revision int64) bool {
	for _, n := range d.Nodes {
		if n.ConfigRevision() < revision {
			return false
		}
	}
	return true
}

// named says whether each node sends callers to all nodes.
func (d *Deployment) named() bool {
	for _, n := range d.Nodes {
		if len(gateway.ListEntries(n.Members(), "").Entries) < len(d.Nodes) {
			return false
		}
	}
	return true
}

func (d *Deployment) joined() bool {
	for _, n := range d.Nodes {
		if len(n.Members().Members()) < len(d.Nodes) {
			return false
		}
	}
	return true
}

// Engines returns the number of engine stand-ins.
func (d *Deployment) Engines() int { return len(d.standins.engines) }

// Engine returns the i-th engine stand-in.
func (d *Deployment) Engine(i int) *engine.Engine { return d.standins.engines[i] }

// Services returns the number of plain-service stand-ins.
func (d *Deployment) Services() int { return len(d.standins.services) }

// Service returns the i-th plain-service stand-in.
func (d *Deployment) Service(i int) *service.Service { return d.standins.services[i] }

// Document returns the configuration the deployment began with.
func (d *Deployment) Document() config.Document { return d.document }

// Platform returns the platform stand-in.
func (d *Deployment) Platform() *memstore.Store { return d.standins.platform }

// Kill ends a node as a crash does: it says nothing more to anybody.
func (d *Deployment) Kill(i int) {
	d.clients[i].sever()
	d.Nodes[i].Close()
}

// Stop shuts all nodes down gracefully at the same time, then the stand-ins.
func (d *Deployment) Stop(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	failures := make([]error, len(d.Nodes))
	var wait sync.WaitGroup
	for i, n := range d.Nodes {
		wait.Go(func() { failures[i] = n.Stop(ctx) })
	}
	wait.Wait()
	d.standins.close()
	return errors.Join(failures...)
}

// Close ends everything at once.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		n.Close()
	}
	d.standins.close()
}
