package dev

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/node"
	"galenatrestle/internal/standin"
)

// nodeCount is the number of nodes of the embedded deployment.
const nodeCount = 3

// keepTime is short here: all nodes stop at once, so there is no other entry
// that a caller could change to.
const keepTime = 100 * time.Millisecond

// Deployment is a whole system in one process.
type Deployment struct {
	Nodes    []*node.Node
	standins *standins
}

// Start starts a deployment on loopback.
func Start(options Options, log logrus.FieldLogger) (*Deployment, error) {
	imitated, err := startStandins()
	if err != nil {
		return nil, err
	}
	d := &Deployment{standins: imitated}
	for i := range nodeCount {
		n, err := d.newNode(i, options, log)
		if err != nil {
			imitated.close()
			return nil, err
		}
		d.Nodes = append(d.Nodes, n)
	}
	parsed, err := document(imitated.engines, imitated.services)
	if err != nil {
		imitated.close()
		return nil, err
	}
	d.connect(config.NewIndex(1, parsed))
	return d, nil
}

func (d *Deployment) newNode(i int, options Options, log logrus.FieldLogger) (*node.Node, error) {
	entry, err := listen(options.ListenBase, i)
	if err != nil {
		return nil, err
	}
	nodeOptions := node.Options{
		Name:             fmt.Sprintf("vm-%d", i),
		AvailabilityZone: zones[i%len(zones)],
		Region:           "sask-central",
		DataCentre:       "sask-central",
		Entry:            entry,
		KeepTime:         keepTime,
		Seed:             uint64(i + 1),
		Registry:         prometheus.NewRegistry(),
		Log:              log.WithField("node", fmt.Sprintf("vm-%d", i)),
	}
	if i == 0 {
		nodeOptions.Ops, err = listen(options.Ops, 0)
		if err != nil {
			return nil, err
		}
		handler := standin.Handler(d.standins.named)
		nodeOptions.OpsHandlers = map[string]node.Handler{"/standin": handler, "/standin/": handler}
	}
	return node.New(nodeOptions), nil
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

func (d *Deployment) connect(index *config.Index) {
	for i, n := range d.Nodes {
		var peers []*node.Node
		peers = append(peers, d.Nodes[:i]...)
		peers = append(peers, d.Nodes[i+1:]...)
		n.SetPeers(peers...)
		n.Configure(index)
		n.Start()
	}
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
