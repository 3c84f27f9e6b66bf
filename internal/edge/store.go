package edge

import (
	"context"
	"net/http"
	"time"

	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/duty"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/streamorigin"
)

// Store is the part of the platform's store that a node uses.
type Store interface {
	duty.Store
	streamorigin.Store
	// Configuration reads the newest version of the operator's document.
	Configuration(ctx context.Context) ([]byte, error)
	// Replicas reads all registrations. A listing may come with an error that lists entries
	// which could not be decoded.
	Replicas(ctx context.Context) (replica.Listing, error)
	// ReplicaChanges reads the changes of the registrations after the revision. It returns
	// platform.ErrCompacted if the store no longer has them.
	ReplicaChanges(ctx context.Context, after int64) (replica.StoreChanges, error)
	// Era is the newest era of the store that an answer has told; it rises when the store is
	// restored from an older copy.
	Era() int64
	// Announce writes the node's entry, which expires with the lease.
	Announce(ctx context.Context, n nodesync.Node, lease int64) error
	// Nodes lists the announced nodes; the result may be some seconds old.
	Nodes(ctx context.Context) ([]nodesync.Node, error)
	// SaveCrashRecords writes records, at most 32, which expire with the lease.
	SaveCrashRecords(ctx context.Context, records crashcause.Kept, lease int64) error
	// CrashRecords lists these records; the result may be some seconds old. It reports whether there
	// is one. A result may come with an error that names entries which could not be decoded.
	CrashRecords(ctx context.Context) (crashcause.Kept, bool, error)
}

// Wire defines the format of the readiness and resolve endpoints.
type Wire interface {
	// ReadyPath is the path of the readiness endpoint, ResolvePath that of the endpoint
	// that returns entry addresses.
	ReadyPath() string
	ResolvePath() string
	// CallerZone returns the caller's availability zone from a resolve request, or "".
	CallerZone(r *http.Request) string
	// WriteResolve writes the addresses; callers may cache them for ttl.
	WriteResolve(w http.ResponseWriter, addresses []string, ttl time.Duration) error
}
