package gateway

import (
	"net/http"

	"galenatrestle/internal/refusal"
)

// The paths of lookups.
const (
	pathModels  = "/v1/models"
	pathEntries = "/entries"
)

// methods are those of the endpoints with one path.
var methods = map[string]string{
	pathChat: http.MethodPost, pathText: http.MethodPost,
	pathModels: http.MethodGet, pathEntries: http.MethodGet,
}

// IsLookup reports whether the request asks for the entries or the models, which is answered from
// memory at once and runs nothing.
func IsLookup(r *http.Request) bool {
	return r.Method == http.MethodGet && (r.URL.Path == pathEntries || r.URL.Path == pathModels)
}

// noEndpoint refuses what no other pattern takes.
func (s *Server) noEndpoint(w http.ResponseWriter, r *http.Request) {
	method, known := methods[r.URL.Path]
	if !known {
		s.refuseAs(w, http.StatusNotFound, refusal.BadField("path", r.URL.Path, "there is no such endpoint"))
		return
	}
	w.Header().Set("Allow", method)
	s.refuseAs(w, http.StatusMethodNotAllowed, refusal.BadField("method", r.Method, "this endpoint takes "+method))
}
