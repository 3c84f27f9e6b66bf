package streamorigin

import (
	"context"
	"slices"
	"time"
)

const (
	// findTimeout bounds asking the other nodes. A node that was cut off does not answer at all.
	findTimeout = 200 * time.Millisecond
	// maxListingAge is the age of the registrations up to which they show all versions that began
	// streams, but for those of the last moments.
	maxListingAge = 2 * time.Second
)

// Source is where the origin of a stream is known from.
type Source string

const (
	// OwnRecord is a record of this node, OtherNode one of another node and SavedRecord one in the
	// store. OnlyVersion means that one version alone has served lately.
	OwnRecord   Source = "own_record"
	OtherNode   Source = "other_node"
	SavedRecord Source = "store"
	OnlyVersion Source = "only_version"
	Unknown     Source = "unknown"
)

// Resolution is what is known of a stream that a caller resumes.
type Resolution struct {
	// Origin is valid unless Source is Unknown.
	Origin
	Source Source
	// Asked is the number of other nodes that were asked, Answered of those that answered.
	Asked, Answered int
	// Versions are the versions of the upstream that this node and those that answered have seen
	// lately; complete is whether one of them has watched for long enough to know all.
	Versions []string
	Complete bool
	// ListingAge is the age of this node's registrations.
	ListingAge time.Duration
	// StoreErr is the error of reading the store; nil: it was read or not needed.
	StoreErr error
	Took     time.Duration
}

// Resolve finds where the stream began that a caller resumes at the upstream. The attempt is the
// caller's one that received the first event; empty: it is not told.
func (t *Tracker) Resolve(ctx context.Context, attempt, upstream string) Resolution {
	began := t.options.Clock()
	r := t.resolve(ctx, IDOf(attempt), upstream)
	r.Took = t.options.Clock().Sub(began)
	t.metrics.countResolved(r.Source, r.Took)
	return r
}

func (t *Tracker) resolve(ctx context.Context, stream StreamID, upstream string) Resolution {
	r := Resolution{Source: Unknown, Versions: t.versions.recent(upstream), Complete: t.versions.areComplete(), ListingAge: t.versions.listingAge()}
	if record, known := t.records.find(stream, t.options.Clock()); known {
		r.Origin, r.Source = record.Origin, OwnRecord
		return r
	}
	known := t.askNodes(ctx, stream, upstream, &r)
	if r.Source != Unknown {
		return r
	}
	if r.mayInfer(known) && r.inferOnlyVersion(upstream) {
		return r
	}
	t.askStore(ctx, stream, upstream, &r)
	return r
}

// mayInfer reports whether this node and those that answered would know a second version, of the known nodes. One that is
// cut off may have missed a release: a listing that was read before that shows it no more than nodes that do not answer.
func (r *Resolution) mayInfer(known int) bool {
	all := r.Answered > 0 && r.Answered+1 >= known
	most := 2*(r.Answered+1) > known
	return r.Complete && (all || most && r.ListingAge <= maxListingAge)
}

// inferOnlyVersion takes the stream to have begun at the only version that has served lately; false:
// there are several.
func (r *Resolution) inferOnlyVersion(upstream string) bool {
	if len(r.Versions) != 1 {
		return false
	}
	r.Origin, r.Source = Origin{Upstream: upstream, Version: r.Versions[0]}, OnlyVersion
	return true
}

// askNodes asks the other nodes until one knows the stream, and returns the number of nodes that may
// have known it lately, this one included.
func (t *Tracker) askNodes(ctx context.Context, stream StreamID, upstream string, r *Resolution) int {
	holders, known := t.options.Fleet.RecordHolders()
	r.Asked = len(holders)
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := make(chan *Answer, len(holders))
	for _, node := range holders {
		go func() { answers <- t.askNode(ctx, node, stream, upstream) }()
	}
	for range holders {
		a := <-answers
		if a == nil {
			continue
		}
		r.Answered++
		r.merge(a.Versions, a.Complete)
		if a.Record != nil {
			r.Origin, r.Source = a.Record.Origin, OtherNode
			t.records.add(*a.Record, t.options.Clock())
			return known
		}
	}
	return known
}

// askNode returns the node's answer, nil if there is none.
func (t *Tracker) askNode(ctx context.Context, node Node, stream StreamID, upstream string) *Answer {
	a, err := t.options.Peers.Find(ctx, node, stream, upstream)
	if err != nil {
		if ctx.Err() != context.Canceled {
			t.options.Log.Write(&nodeNotAsked{node: node, err: err})
		}
		return nil
	}
	return &a
}

// askStore looks for the stream in the store. Streams are saved there while versions serve side by
// side: if the store has none of other versions, there were none but for those of the last moments, whose version a
// recent listing has.
func (t *Tracker) askStore(ctx context.Context, stream StreamID, upstream string, r *Resolution) {
	records, err := t.saved.load(ctx, t.options.Store, t.options.Clock)
	if err != nil {
		r.StoreErr = err
		return
	}
	t.learn(records)
	if record, known := t.records.find(stream, t.options.Clock()); known {
		r.Origin, r.Source = record.Origin, SavedRecord
		return
	}
	r.merge(t.versions.recent(upstream), true)
	if t.versions.listingAge() <= maxListingAge {
		r.inferOnlyVersion(upstream)
	}
}

// merge adds versions that others have seen.
func (r *Resolution) merge(versions []string, complete bool) {
	r.Complete = r.Complete || complete
	for _, v := range versions {
		if !slices.Contains(r.Versions, v) {
			r.Versions = append(slices.Clip(r.Versions), v)
		}
	}
}
