package capacity

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/node"
)

// Node measures a whole node without callers, by the workspaces and then by the
// replicas of its configuration.
func Node(fleet Fleet, workspaces, replicas []int) ([]Slope, error) {
	byWorkspace := Slope{
		Role: RoleNode, Quantity: "heap with all replicas", Unit: "B",
		Against: "workspaces", Target: float64(fleet.Workspaces),
	}
	byReplica := Slope{
		Role: RoleNode, Quantity: "heap without workspaces", Unit: "B",
		Against: "replicas", Target: float64(fleet.Replicas),
	}
	change := Slope{
		Role: RoleNode, Quantity: "processor time of putting a change in force", Unit: "s",
		Against: "workspaces", Target: float64(fleet.Workspaces),
	}
	for _, n := range workspaces {
		kept, used, err := configuredNode(fleet, n, fleet.Replicas)
		if err != nil {
			return nil, err
		}
		byWorkspace.add(n, kept)
		change.add(n, used.Seconds())
	}
	for _, n := range replicas {
		kept, _, err := configuredNode(fleet, 1, n)
		if err != nil {
			return nil, err
		}
		byReplica.add(n, kept)
	}
	return fitAll(byWorkspace, byReplica, change)
}

// configuredNode returns the heap of a node with such a configuration and the
// time that the node takes to put another one in force.
func configuredNode(fleet Fleet, workspaces, replicas int) (float64, time.Duration, error) {
	var n *node.Node
	var err error
	first := document(fleet, workspaces, replicas)
	kept := heapOf(func() *node.Node {
		if n, err = newNode(); err == nil {
			n.Configure(decoded(first))
		}
		return n
	})
	if err != nil {
		return 0, 0, err
	}
	defer n.Close()
	second := config.NewIndex(2, changed(first, 2))
	return kept, cpuOf(func() { n.Configure(second) }), nil
}

func newNode() (*node.Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return node.New(node.Options{Name: "vm-0", AvailabilityZone: "zone-0", Region: "region-0", Entry: listener, Log: log, Seed: 1}), nil
}
