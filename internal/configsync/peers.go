package configsync

import (
	"context"

	configsyncv1 "galenatrestle/internal/gen/trestle/configsync/v1"
)

// Peers carries messages to other nodes. NewConnectPeers is the one over
// connect-go.
type Peers interface {
	// Pull asks the node at the address for what is newer.
	Pull(ctx context.Context, address string, request *configsyncv1.PullRequest) (*configsyncv1.PullResponse, error)
	// Notify tells the node at the address of a new revision.
	Notify(ctx context.Context, address string, request *configsyncv1.NotifyRequest) (*configsyncv1.NotifyResponse, error)
}
