package passthrough

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"galenatrestle/internal/forward"
	"galenatrestle/internal/route"
)

const (
	// revokeMargin is the part of the time for revocations within which a key
	// may be used: the rest is for clocks that differ in rate.
	revokeMargin = 0.85
	// defaultTimeout bounds a request whose route and caller set no time.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody bounds a body where the configuration does not.
	defaultMaxBody = 4 << 20
)

// check decides whether the request is let in, and as what.
func (h *Handler) check(w http.ResponseWriter, r *http.Request, arrived time.Time) (*forward.Call, *refused) {
	snapshot := h.options.Routes.Get()
	if snapshot.Table == nil {
		return nil, &refuseNoConfiguration
	}
	age := snapshot.Age(h.options.Clock())
	table := snapshot.Table
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	matched, ok := table.Match(r.Host, path)
	if !ok {
		return nil, h.unlessStale(age, &refuseRoute)
	}
	headers := h.options.Codec.DecodeCaller(r.Header)
	workspace, refusal := h.admit(table, matched, headers.Key, age)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := readBody(w, r, table.Limits.MaxBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	c := &forward.Call{
		CallerHeaders: headers, Route: matched, Workspace: workspace, Upstream: matched.Pick(h.options.Random()), Rank: table.Rank(matched, workspace),
		Method: r.Method, Target: target, Host: r.Host, Header: r.Header, Body: body,
		Arrived: arrived, Deadline: deadline(arrived, matched, headers.Timeout),
	}
	if u, ok := table.Upstream(c.Upstream); ok {
		h.bound(c, u)
	}
	return c, nil
}

// requestTarget is the request line's target as the caller sent it, without
// the scheme and host of its absolute form.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// admit checks the key. The snapshot's age counts from before the request came,
// so that a key which it holds was revoked no earlier than that.
func (h *Handler) admit(table *route.Table, r *route.Route, key string, age time.Duration) (*route.Workspace, *refused) {
	if !table.NeedsKey(r) {
		return nil, nil
	}
	revokeAfter := h.options.Bounds().RevokeAfter
	if revokeAfter > 0 && age > time.Duration(revokeMargin*float64(revokeAfter)) {
		return nil, &refuseStale
	}
	workspace, ok := table.Workspace(key)
	if !ok {
		return nil, h.unlessStale(age, &refuseKey)
	}
	return workspace, nil
}

// unlessStale refuses for good only by a table that is known to be the newest:
// a newer one may hold the route or key.
func (h *Handler) unlessStale(age time.Duration, final *refused) *refused {
	if within := h.options.Bounds().ApplyWithin; within > 0 && age > within {
		return &refuseStale
	}
	return final
}

// deadline is when the answer is of no more use.
func deadline(arrived time.Time, r *route.Route, patience time.Duration) time.Time {
	limit := r.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if patience > 0 {
		limit = min(limit, patience)
	}
	return arrived.Add(limit)
}

// bound takes over what the operator says of the upstream's replicas.
func (h *Handler) bound(c *forward.Call, u *route.Upstream) {
	if u.Engine != nil {
		c.MemoryTokens = u.Engine.MemoryTokens
		c.CanCopyCache = u.Engine.CopiesPrompts
	}
	if u.MaxConnections > 0 {
		// This node's share of what one replica accepts of all nodes.
		c.MaxConnections = max(u.MaxConnections/max(h.options.NodeCount(), 1), 1)
	}
}

// readBody reads the whole body, so that it can be sent more than once.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *refused) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &refuseTooLarge
	case err != nil:
		return nil, &refuseUnreadable
	default:
		return body, nil
	}
}
