package node

import (
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/gateway"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/settings"
	"galenatrestle/internal/upstream"
)

// Options are what a Node is created with.
type Options struct {
	// Name of the VM, unique in the deployment.
	Name             string
	AvailabilityZone string
	Region           string
	DataCentre       string
	// Entry, Ops and Peer are the listeners for callers, operators and other
	// nodes. The node closes them.
	Entry net.Listener
	Ops   net.Listener
	Peer  net.Listener
	// PeerKeys are the keys of the links between nodes; nil leaves the links
	// without keys, for development alone.
	PeerKeys *peer.Keys
	// Seeds are peer addresses to begin with, besides the platform's list.
	Seeds []string
	// OwnSlots has this node use replicas up to their limits by itself, for
	// measurements. Otherwise the replicas' owners share their slots between
	// the nodes (package credit).
	OwnSlots bool
	// EntryAddress and PeerAddress are told to others. Default: the
	// listeners' own addresses.
	EntryAddress string
	PeerAddress  string
	// Store is the platform's key-value service.
	Store platform.Store
	// Instances is the platform's list of VMs.
	Instances platform.Instances
	// Operators may use the operators' service on the ops address.
	Operators []settings.Operator
	// OpsHandlers are further handlers on the ops address, by pattern.
	OpsHandlers map[string]Handler
	// Claims sizes the ledger of unrepeatable calls. Default: the settings'.
	Claims settings.Claims
	// Counterparts are peer addresses of the other data centres' systems, by
	// data centre.
	Counterparts map[string][]string
	// Home says whether this data centre serves an upstream for a workspace as
	// long as no move says otherwise. Default: always.
	Home func(upstream, workspace string) bool
	// DialReplica opens direct connections to replicas; nil: TCP.
	DialReplica replicaconn.Dial
	// KeepTime is how long a leaving node keeps its listener open, so that
	// callers who hold its address still reach it. Default: the entry TTL and
	// a second.
	KeepTime time.Duration
	// Seed feeds the random sources of the decisions.
	Seed     uint64
	Registry *prometheus.Registry
	Log      logrus.FieldLogger
}

const defaultKeepTime = gateway.EntryTTLSeconds*time.Second + time.Second

func (o Options) withDefaults() Options {
	if o.EntryAddress == "" {
		o.EntryAddress = o.Entry.Addr().String()
	}
	if o.PeerAddress == "" && o.Peer != nil {
		o.PeerAddress = o.Peer.Addr().String()
	}
	if o.Home == nil {
		o.Home = func(string, string) bool { return true }
	}
	if o.DialReplica == nil {
		o.DialReplica = upstream.TCPDial(upstream.DefaultDialTimeout)
	}
	if o.KeepTime == 0 {
		o.KeepTime = defaultKeepTime
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	if o.Log == nil {
		o.Log = logrus.New()
	}
	return o
}
