package edge

import (
	"context"
	"net/http"
	"time"

	"galenatrestle/internal/duty"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/replica"
)

// Store is what a node reads and writes in the platform's store.
type Store interface {
	duty.Store
	// Configuration reads the operator's newest document.
	Configuration(ctx context.Context) ([]byte, error)
	// Replicas reads all registrations. A listing may come with an error that
	// tells of entries which could not be decoded.
	Replicas(ctx context.Context) (replica.Listing, error)
	// Announce makes the node known while the lease lasts.
	Announce(ctx context.Context, n nodesync.Node, lease int64) error
	// Nodes lists the announced nodes, as of some seconds ago.
	Nodes(ctx context.Context) ([]nodesync.Node, error)
}

// Wire answers the platform's and callers' questions in their format.
type Wire interface {
	// ReadyPath is the path of the question whether the node is ready,
	// ResolvePath that of the question which addresses to use.
	ReadyPath() string
	ResolvePath() string
	// CallerZone is the availability zone that such a question tells; empty: none.
	CallerZone(r *http.Request) string
	// WriteResolve answers with the addresses, to be kept for ttl.
	WriteResolve(w http.ResponseWriter, addresses []string, ttl time.Duration) error
}
