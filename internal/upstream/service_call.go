package upstream

import "net/http"

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	// ID names the attempt; it goes out as openai.HeaderRequestID.
	ID string
	// Method is the HTTP method; Path is the path and query.
	Method string
	Path   string
	// Header is sent but for what concerns one connection and the caller's key.
	Header http.Header
	Body   []byte
	// Unrepeatable calls get a fresh connection, so that no idle connection
	// closed at the wrong moment makes their outcome unknown.
	Unrepeatable bool
}

// ServiceAnswer is a plain service's whole answer, whatever its status.
type ServiceAnswer struct {
	Status int
	// Header is without what concerns one connection.
	Header http.Header
	Body   []byte
}
