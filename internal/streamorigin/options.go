package streamorigin

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/replica"
)

// Options configures a Tracker.
type Options struct {
	Replicas *replica.Set
	Fleet    Fleet
	Peers    Peers
	Store    Store
	Clock    boottime.Clock
	Log      *eventlog.Log
	Registry prometheus.Registerer
	// Rand is used by one goroutine only.
	Rand *rand.Rand
	// Process names this run of the node's process in the keys of the store.
	Process string
}

// Node is another node.
type Node struct {
	Name string
	// Address is its address for calls of other nodes.
	Address string
}

// Fleet tells which nodes keep records for others.
type Fleet interface {
	// RecordKeepers returns the nodes that get copies of this node's records. The first one also
	// saves them in the store, unless savesItself is set: then this node does.
	RecordKeepers() (keepers []Node, savesItself bool)
	// RecordHolders returns the nodes that may have records, and the number of nodes known to have
	// been among these lately, this one included.
	RecordHolders() (holders []Node, known int)
	// RecordSavers returns the number of nodes that save records in the store.
	RecordSavers() int
}

// Peers calls other nodes.
type Peers interface {
	// Add adds the records to those of the node; save asks it to write them to the store.
	Add(ctx context.Context, node Node, records []Record, save bool) error
	Find(ctx context.Context, node Node, stream StreamID, upstream string) (Answer, error)
}

// Answer is what another node knows of a stream.
type Answer struct {
	// Record is nil if the node does not know the stream.
	Record *Record
	// Versions are the software versions of the upstream that it has seen lately. Complete is whether
	// it has been watching for long enough to know all.
	Versions []string
	Complete bool
}

// Store is the part of the platform's store that keeps records.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// SaveStreamOrigins writes a segment, whatever it held before. It expires with the lease.
	SaveStreamOrigins(ctx context.Context, segment string, records []Record, now boottime.Instant, lease int64) error
	// StreamOrigins returns the records of all segments. The read is linearizable.
	StreamOrigins(ctx context.Context, now boottime.Instant) ([]Record, error)
}
