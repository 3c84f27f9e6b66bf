package embedded

import (
	"errors"
	"net/http"
	"sync/atomic"

	"galenatrestle/internal/platform/httpstore"
)

// errSevered is what a killed node gets from its link to the platform.
var errSevered = errors.New("embedded: the link to the platform is severed")

// platformClient is one node's link to the platform, which can be cut.
type platformClient struct {
	store *httpstore.Client
	link  *severable
}

func newPlatformClient(address string) *platformClient {
	link := &severable{inner: &http.Transport{}}
	store := httpstore.New(httpstore.Config{Address: address, Transport: link})
	return &platformClient{store: store, link: link}
}

// sever fails all further calls.
func (c *platformClient) sever() { c.link.severed.Store(true) }

// restore lets calls through again.
func (c *platformClient) restore() { c.link.severed.Store(false) }

// severable is a transport that can be cut.
type severable struct {
	inner   http.RoundTripper
	severed atomic.Bool
}

// RoundTrip implements http.RoundTripper.
func (s *severable) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.severed.Load() {
		return nil, errSevered
	}
	return s.inner.RoundTrip(r)
}

// CutPlatform takes the platform from one node; RestorePlatform gives it back.
func (d *Deployment) CutPlatform(i int) { d.clients[i].sever() }

// RestorePlatform ends CutPlatform.
func (d *Deployment) RestorePlatform(i int) { d.clients[i].restore() }
