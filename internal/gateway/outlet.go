package gateway

import "net/http"

// outlet is what every sink writes to.
type outlet struct {
	server *Server
	w      http.ResponseWriter
	// prepare sets the response's headers before the first byte.
	prepare func(http.Header)
	// keep adds what the caller is given to the kept answer.
	keep func(data []byte)
}
