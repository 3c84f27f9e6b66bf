package gateway

import (
	"net/http"
	"slices"

	"galenatrestle/internal/config"
	"galenatrestle/internal/openai"
)

// models answers GET /v1/models with what the workspace may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c, err := s.check(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	document := c.index.Document()
	for i := range document.Upstreams {
		list.Data = append(list.Data, modelsOf(c, &document.Upstreams[i])...)
	}
	writeJSON(w, http.StatusOK, list)
}

func modelsOf(c *call, upstream *config.Upstream) []openai.Model {
	if upstream.Kind != config.KindEngine || !slices.Contains(c.workspace.Upstreams, upstream.Name) {
		return nil
	}
	names := append([]string{upstream.Model}, upstream.Adapters...)
	models := make([]openai.Model, 0, len(names))
	for _, name := range names {
		models = append(models, openai.Model{ID: name, Object: "model", OwnedBy: upstream.Name})
	}
	return models
}
