package embedded

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/platform/memstore"
	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/service"
)

// Options size a deployment. Zero values take the defaults named.
type Options struct {
	// DataCentre names the deployment's data centre, and with it the nodes.
	// Default: data-centre-0, with nodes named vm-0 and so on.
	DataCentre string
	// Counterparts are peer addresses of other data centres' deployments.
	Counterparts map[string][]string
	// Away are the upstreams that another data centre serves until a move
	// brings them here.
	Away []string
	// Peers are the nodes' peer listeners. Default: free ports.
	Peers []net.Listener
	// Nodes is the number of entry VMs. Default 3.
	Nodes int
	// Zones are the availability zones; nodes and replicas take them in turn.
	// Default: saskatoon-hall and regina-hall.
	Zones []string
	// Engines and Services are the numbers of replicas. Default 4 and 2.
	Engines  int
	Services int
	// Engine and Service are the stand-ins' settings; their names are set here.
	Engine  engine.Options
	Service service.Options
	// Platform is the platform stand-in's settings.
	Platform memstore.Config
	// Config is the configuration's text/template; its data is ConfigData.
	// Default: the classes of both users.
	Config string
	// Quotas are the workspaces' quotas, by name, in place of those of Config.
	Quotas map[string]config.Quota
	// ListenBase is the first entry port, 0 for free ports.
	ListenBase int
	// OpsPort is the first node's operators' port, 0 for a free one.
	OpsPort int
	// KeepTime is how long a leaving node keeps its listener open. Default 100 ms.
	KeepTime time.Duration
	// DialReplica returns what opens the node's direct connections to replicas; nil: TCP.
	DialReplica func(node int) replicaconn.Dial
	// OwnSlots has each node use the replicas as if it were alone.
	OwnSlots bool
	// Seed feeds all random sources. Default 1.
	Seed uint64
	Log  logrus.FieldLogger
}

const (
	defaultNodes    = 3
	defaultEngines  = 4
	defaultServices = 2
	defaultKeepTime = 100 * time.Millisecond
	defaultSeed     = 1
	// defaultDataCentre has nodes without its name in theirs.
	defaultDataCentre = "data-centre-0"
)

func (o Options) withDefaults() Options {
	o.DataCentre = cmp.Or(o.DataCentre, defaultDataCentre)
	o.Nodes = cmp.Or(o.Nodes, defaultNodes)
	o.Engines = cmp.Or(o.Engines, defaultEngines)
	o.Services = cmp.Or(o.Services, defaultServices)
	o.KeepTime = cmp.Or(o.KeepTime, defaultKeepTime)
	o.Seed = cmp.Or(o.Seed, defaultSeed)
	o.Config = cmp.Or(o.Config, defaultConfig)
	if len(o.Zones) == 0 {
		o.Zones = []string{"saskatoon-hall", "regina-hall"}
	}
	if o.Log == nil {
		o.Log = silentLog()
	}
	return o
}

// nodeName names the i-th node.
func (o Options) nodeName(i int) string {
	if o.DataCentre == defaultDataCentre {
		return fmt.Sprintf("vm-%d", i)
	}
	return fmt.Sprintf("%s-vm-%d", o.DataCentre, i)
}

// home says whether this data centre serves the upstream without a move.
func (o Options) home(upstream, _ string) bool { return !slices.Contains(o.Away, upstream) }

// peer returns the i-th node's peer listener.
func (o Options) peer(i int) (net.Listener, error) {
	if i < len(o.Peers) {
		return o.Peers[i], nil
	}
	return listen(0, 0)
}
