package embedded

import (
	"time"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/platform/memstore"
	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/service"
)

// Options size a deployment. Zero values take the defaults named.
type Options struct {
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
	// ListenBase is the first entry port, 0 for free ports.
	ListenBase int
	// OpsPort is the first node's operators' port, 0 for a free one.
	OpsPort int
	// KeepTime is how long a leaving node keeps its listener open. Default 100 ms.
	KeepTime time.Duration
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
)

func (o Options) withDefaults() Options {
	o.Nodes = orDefault(o.Nodes, defaultNodes)
	o.Engines = orDefault(o.Engines, defaultEngines)
	o.Services = orDefault(o.Services, defaultServices)
	o.KeepTime = orDefault(o.KeepTime, defaultKeepTime)
	o.Seed = orDefault(o.Seed, defaultSeed)
	o.Config = orDefault(o.Config, defaultConfig)
	if len(o.Zones) == 0 {
		o.Zones = []string{"saskatoon-hall", "regina-hall"}
	}
	if o.Log == nil {
		o.Log = silentLog()
	}
	return o
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
