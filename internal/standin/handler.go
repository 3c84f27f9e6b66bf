package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"galenatrestle/internal/standin/fault"
	"galenatrestle/internal/standin/reply"
	"galenatrestle/internal/standin/runs"
)

// maxFaultBytes bounds the body of a fault order.
const maxFaultBytes = 64 << 10

// Names answers GET /standin.
type Names struct {
	Standins []string `json:"standins"`
}

type handler struct {
	standins map[string]Standin
}

// Handler serves, for each named stand-in, POST and DELETE
// /standin/{name}/fault, GET /standin/{name}/fault (what is switched on) and
// GET /standin/{name}/runs; GET /standin lists the names. The map must not
// change afterwards.
func Handler(standins map[string]Standin) http.Handler {
	h := &handler{standins: standins}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin", h.list)
	mux.HandleFunc("POST /standin/{name}/fault", h.setFault)
	mux.HandleFunc("GET /standin/{name}/fault", h.getFaults)
	mux.HandleFunc("DELETE /standin/{name}/fault", h.clearFaults)
	mux.HandleFunc("GET /standin/{name}/runs", h.getRuns)
	return mux
}

func (h *handler) list(w http.ResponseWriter, _ *http.Request) {
	names := slices.Sorted(maps.Keys(h.standins))
	reply.JSON(w, http.StatusOK, Names{Standins: names})
}

// named returns the stand-in of the path, or nil once it has written a 404.
func (h *handler) named(w http.ResponseWriter, r *http.Request) Standin {
	name := r.PathValue("name")
	s, ok := h.standins[name]
	if !ok {
		reply.Error(w, http.StatusNotFound, "unknown_standin", fmt.Sprintf("no stand-in is named %q", name))
		return nil
	}
	return s
}

func (h *handler) setFault(w http.ResponseWriter, r *http.Request) {
	s := h.named(w, r)
	if s == nil {
		return
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	decoder.DisallowUnknownFields()
	var spec fault.Spec
	if err := decoder.Decode(&spec); err != nil {
		reply.Error(w, http.StatusBadRequest, "bad_fault", err.Error())
		return
	}
	if err := s.Faults().Switch(spec); err != nil {
		reply.Error(w, http.StatusBadRequest, "bad_fault", err.Error())
		return
	}
	reply.JSON(w, http.StatusOK, s.Faults().List())
}

func (h *handler) getFaults(w http.ResponseWriter, r *http.Request) {
	if s := h.named(w, r); s != nil {
		reply.JSON(w, http.StatusOK, s.Faults().List())
	}
}

// clearFaults switches off the kind of ?kind=, or all.
func (h *handler) clearFaults(w http.ResponseWriter, r *http.Request) {
	s := h.named(w, r)
	if s == nil {
		return
	}
	if kind := r.URL.Query().Get("kind"); kind != "" {
		s.Faults().Clear(fault.Kind(kind))
	} else {
		s.Faults().ClearAll()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) getRuns(w http.ResponseWriter, r *http.Request) {
	s := h.named(w, r)
	if s == nil {
		return
	}
	list := s.Runs()
	if list == nil {
		reply.JSON(w, http.StatusOK, runs.Report{Runs: []runs.Run{}})
		return
	}
	reply.JSON(w, http.StatusOK, list.Report())
}
