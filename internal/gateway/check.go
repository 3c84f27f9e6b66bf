package gateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

const (
	bearerPrefix = "Bearer "
	// maxIdempotencyKey bounds the caller's key, in bytes.
	maxIdempotencyKey = 255
)

// check establishes who calls, in which class and until when.
func (s *Server) check(r *http.Request) (*call, error) {
	if s.draining.Load() {
		return nil, s.refuseDraining()
	}
	index := s.options.Config()
	if index == nil {
		return nil, refusal.New(refusal.NotConfigured, "check", "this node has no configuration yet")
	}
	if err := checkOnce(r); err != nil {
		return nil, err
	}
	workspace, err := authenticate(index, r)
	if err != nil {
		return nil, err
	}
	class, err := classOf(index, workspace, r)
	if err != nil {
		return nil, err
	}
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKey {
		return nil, refusal.BadField(headerIdempotencyKey, key[:maxIdempotencyKey], "longer than 255 bytes")
	}
	c := &call{
		id:             s.newID(),
		index:          index,
		workspace:      workspace,
		class:          class,
		arrived:        time.Now(),
		idempotencyKey: key,
	}
	usefulFor, err := usefulness(class, r)
	if err != nil {
		return nil, err
	}
	c.giveUpAt = c.arrived.Add(usefulFor)
	s.beginTimeline(c)
	return c, nil
}

func (s *Server) refuseDraining() error {
	refused := refusal.New(refusal.ShuttingDown, "check", "this entry is closing; ask GET /entries for another")
	refused.RetryAfter = time.Second
	return refused
}

// authenticate finds the workspace of the bearer key.
func authenticate(index *config.Index, r *http.Request) (*config.Workspace, error) {
	header := r.Header.Get("Authorization")
	key, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || key == "" {
		refused := refusal.New(refusal.MissingKey, "check", "send the workspace's key as 'Authorization: Bearer KEY'")
		refused.Field = "Authorization"
		return nil, refused
	}
	workspace, ok := index.WorkspaceByKey(key)
	if !ok {
		refused := refusal.New(refusal.UnknownKey, "check", "no workspace has this key")
		refused.Field = "Authorization"
		return nil, refused
	}
	return workspace, nil
}

// classOf finds the class asked for; without a header it is the workspace's first.
func classOf(index *config.Index, workspace *config.Workspace, r *http.Request) (*config.Class, error) {
	name := r.Header.Get(headerClass)
	if name == "" {
		name = workspace.Classes[0]
	}
	class, ok := index.Class(name)
	if !ok {
		return nil, named(refusal.UnknownClass, headerClass, name, "no such class")
	}
	if !slices.Contains(workspace.Classes, name) {
		return nil, named(refusal.ClassForbidden, headerClass, name, "workspace "+workspace.Name+" may not use this class")
	}
	return class, nil
}

// usefulness is how long the answer is of use to the caller.
func usefulness(class *config.Class, r *http.Request) (time.Duration, error) {
	bound := class.GiveUpAfter.Std()
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return bound, nil
	}
	asked, err := time.ParseDuration(text)
	if err != nil || asked <= 0 {
		return 0, refusal.BadField(headerTimeout, text, "not a positive Go duration such as 2.5s")
	}
	return min(asked, bound), nil
}

// allowed tells whether the workspace may use the upstream.
func allowed(c *call, upstream string) error {
	if slices.Contains(c.workspace.Upstreams, upstream) {
		return nil
	}
	return named(refusal.UpstreamForbidden, "upstream", upstream, "workspace "+c.workspace.Name+" may not use this upstream")
}

// readBody reads the whole body within the configured bound.
func readBody(c *call, w http.ResponseWriter, r *http.Request) ([]byte, error) {
	bound := c.index.Document().Limits.MaxBodyBytes
	if r.ContentLength > bound {
		return nil, tooLarge(bound)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.giveUpAt)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bound))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	if _, over := err.(*http.MaxBytesError); over {
		return nil, tooLarge(bound)
	}
	return nil, brokenBody(r, err)
}

func tooLarge(bound int64) error {
	return named(refusal.BodyTooLarge, "body", fmt.Sprintf("over %d bytes", bound), "the body is larger than this system takes")
}

func named(reason refusal.Reason, field, value, message string) *refusal.Error {
	refused := refusal.New(reason, "check", message)
	refused.Field = field
	refused.Value = value
	return refused
}
