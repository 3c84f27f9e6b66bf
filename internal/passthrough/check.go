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
	// maxKeyAgeFraction times Bounds.RevokeAfter is the largest age of the table at which
	// keys are accepted. The rest is a margin for clock drift.
	maxKeyAgeFraction = 0.85
	// defaultTimeout applies if the route has no timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody is the body limit in bytes if the configuration has none.
	defaultMaxBody = 4 << 20
)

// check validates the request and converts it to a call, or returns why it is refused.
func (h *Handler) check(w http.ResponseWriter, r *http.Request, arrived time.Time) (*forward.Call, *rejection) {
	snapshot := h.options.Routes.Get()
	if snapshot.Table == nil {
		return nil, &noConfigurationRejection
	}
	age := snapshot.Age(h.options.Clock())
	table := snapshot.Table
	target := requestTarget(r)
	path, _, _ := strings.Cut(target, "?")
	matched, ok := table.Match(r.Host, path)
	if !ok {
		return nil, h.unlessStale(age, &unknownRouteRejection)
	}
	headers := h.options.Codec.DecodeCaller(r.Header)
	workspace, refusal := h.authenticate(table, matched, headers.Key, age)
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
	c.Ranks = table.Ranks(c.Upstream)
	h.applyUpstream(c, table)
	return c, nil
}

// requestTarget returns the request target as the caller sent it, without the scheme and
// host of the absolute form.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// authenticate checks the key, if the route needs one. age is the age of the table: every
// key in it was valid that long ago.
func (h *Handler) authenticate(table *route.Table, r *route.Route, key string, age time.Duration) (*route.Workspace, *rejection) {
	if !table.NeedsKey(r) {
		return nil, nil
	}
	revokeAfter := h.options.Bounds().RevokeAfter
	if revokeAfter > 0 && age > time.Duration(maxKeyAgeFraction*float64(revokeAfter)) {
		return nil, &staleConfigurationRejection
	}
	workspace, ok := table.Workspace(key)
	if !ok {
		return nil, h.unlessStale(age, &unknownKeyRejection)
	}
	return workspace, nil
}

// unlessStale returns final, or a retryable refusal if the table may be outdated and a newer
// one may contain the route or key.
func (h *Handler) unlessStale(age time.Duration, final *rejection) *rejection {
	if within := h.options.Bounds().ApplyWithin; within > 0 && age > within {
		return &staleConfigurationRejection
	}
	return final
}

// deadline returns the end of the route's or the caller's timeout, whichever is earlier.
func deadline(arrived time.Time, r *route.Route, callerTimeout time.Duration) time.Time {
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if callerTimeout > 0 {
		timeout = min(timeout, callerTimeout)
	}
	return arrived.Add(timeout)
}

// applyUpstream copies the upstream's replica settings to the call.
func (h *Handler) applyUpstream(c *forward.Call, table *route.Table) {
	u, ok := table.Upstream(c.Upstream)
	if !ok {
		return
	}
	if u.Engine != nil {
		c.MemoryTokens = u.Engine.MemoryTokens
		c.CanCopyCache = u.Engine.CopiesPrompts
	}
	if u.MaxConnections > 0 {
		// This node's share of the connections that one replica accepts.
		c.MaxConnections = max(u.MaxConnections/max(h.options.NodeCount(), 1), 1)
	}
}

// readBody reads the whole body, so that it can be sent more than once.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *rejection) {
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
		return nil, &bodyTooLargeRejection
	case err != nil:
		return nil, &bodyUnreadableRejection
	default:
		return body, nil
	}
}
