package answerrpc

import "net/http"

// Dialer gives the HTTP clients for peers; *peer.Clients is one.
type Dialer interface {
	// HTTPClient returns the client for the address.
	HTTPClient(address string) *http.Client
	// URL returns the base URL of the address.
	URL(address string) string
}

// Locate returns a node's peer address, or false where the node is not there.
type Locate func(node string) (address string, ok bool)
