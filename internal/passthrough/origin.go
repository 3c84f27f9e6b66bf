package passthrough

import (
	"context"
	"slices"

	"galenatrestle/internal/forward"
	"galenatrestle/internal/route"
	"galenatrestle/internal/streamorigin"
)

// resolveOrigin restricts a call that resumes a stream to the upstream and the software version that
// began it. It returns a refusal if these are not known, as the events of another version would not
// fit, or not allowed any more.
func (h *Handler) resolveOrigin(ctx context.Context, c *forward.Call) *rejection {
	if c.Route.Repeat != route.ResumableStream || !c.ResumesStream() {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	resolution := h.options.Streams.Resolve(ctx, c.Resumes, c.Upstream)
	h.options.Log.Write(&originResolved{call: c, resolution: resolution})
	switch {
	case resolution.Source == streamorigin.Unknown, resolution.Source == streamorigin.OnlyVersion && len(c.Route.Targets) > 1:
		return &unknownOriginRejection
	case !slices.ContainsFunc(c.Route.Targets, func(t route.Target) bool { return t.Upstream == resolution.Upstream }):
		return &movedOriginRejection
	}
	c.StreamVersion = &resolution.Version
	if c.Upstream != resolution.Upstream {
		c.Upstream = resolution.Upstream
		h.applyUpstream(c, h.options.Routes.Get().Table)
	}
	return nil
}
