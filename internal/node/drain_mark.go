package node

import (
	"context"
	"fmt"
	"slices"

	"galenatrestle/internal/config"
	"galenatrestle/internal/configsync"
	"galenatrestle/internal/intent"
)

// marker writes a replica's mark into the configuration; it implements
// drainplan.Marker. It is conditional on the revision in force here: where
// another was accepted meanwhile it is tried again on that one.
type marker struct {
	node *Node
}

// MarkLeaving implements drainplan.Marker.
func (m marker) MarkLeaving(ctx context.Context, upstream, replica string, leaving bool, author string) error {
	index := m.node.config.Load()
	if index == nil || m.node.sync == nil {
		return errNoConfiguration
	}
	u, ok := index.Upstream(upstream)
	i := -1
	if ok {
		i = slices.IndexFunc(u.Replicas, func(r config.Replica) bool { return r.Name == replica })
	}
	if i < 0 {
		return &intent.FatalError{Reason: fmt.Sprintf("replica %s of upstream %s is not configured any more", replica, upstream)}
	}
	if u.Replicas[i].Leaving == leaving {
		return nil
	}
	_, err := m.node.sync.syncer.Accept(ctx, configsync.Request{
		Document: marked(index.Document(), upstream, i, leaving), Author: author, Base: index.Revision(),
	})
	return err
}

// marked returns a copy of the document in which one replica has the mark.
func marked(document *config.Document, upstream string, replica int, leaving bool) *config.Document {
	next := *document
	next.Upstreams = slices.Clone(document.Upstreams)
	for i := range next.Upstreams {
		u := &next.Upstreams[i]
		if u.Name == upstream {
			u.Replicas = slices.Clone(u.Replicas)
			u.Replicas[replica].Leaving = leaving
		}
	}
	return &next
}
