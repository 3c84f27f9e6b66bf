package embedded

import (
	"context"
	"fmt"
)

// Replace starts a new node in the place of a stopped or killed one, on other
// ports, and waits until it has a configuration. With platform false it starts
// in an outage: it has only the other nodes to ask.
func (d *Deployment) Replace(i int, platform bool) error {
	n, err := d.newNodeAt(i, 0)
	if err != nil {
		return err
	}
	if !platform {
		d.CutPlatform(i)
	}
	d.Nodes[i] = n
	n.Start()
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	ready := func() bool { return n.ConfigRevision() > 0 }
	if err := await(ctx, ready); err != nil {
		return fmt.Errorf("node %s in its new place has no configuration: %w", n.Name(), err)
	}
	return nil
}

// setClient keeps the i-th node's link to the platform.
func (d *Deployment) setClient(i int, client *platformClient) {
	if i < len(d.clients) {
		d.clients[i] = client
		return
	}
	d.clients = append(d.clients, client)
}
