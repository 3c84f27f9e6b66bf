package gateway

import (
	"net/http"

	"galenatrestle/internal/refusal"
)

// methods are those of the endpoints with one path.
var methods = map[string]string{
	pathChat: http.MethodPost, pathText: http.MethodPost,
	"/v1/models": http.MethodGet, "/entries": http.MethodGet,
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
