package platform

import (
	"encoding/json"
	"net/http"

	"galenatrestle/internal/config"
	"galenatrestle/internal/platform/memstore"
	"galenatrestle/internal/platform/wire"
	"galenatrestle/internal/standin/fault"
)

// switches is the handler behind Switches.
type switches struct {
	store *memstore.Store
}

// Switches returns the handler of the stand-in's switches, under
// /standin/{name}: POST, GET and DELETE fault (DELETE of one ?kind= or all),
// PUT instances, and GET calls. The fault's text names the lease of a
// lease-lapse.
func Switches(name string, store *memstore.Store) http.Handler {
	s := &switches{store: store}
	base := "/standin/" + name
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+base+"/fault", s.setFault)
	mux.HandleFunc("GET "+base+"/fault", s.getFaults)
	mux.HandleFunc("DELETE "+base+"/fault", s.clearFaults)
	mux.HandleFunc("PUT "+base+"/instances", s.setInstances)
	mux.HandleFunc("GET "+base+"/calls", s.getCalls)
	return mux
}

// setFault turns a fault on.
func (s *switches) setFault(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	var spec fault.Spec
	if err := decoder.Decode(&spec); err != nil {
		fail(w, err)
		return
	}
	err := s.store.Inject(memstore.Fault{
		Kind:   memstore.FaultKind(spec.Kind),
		For:    spec.For.Std(),
		Factor: spec.Factor,
		Name:   spec.Text,
	})
	if err != nil {
		fail(w, err)
		return
	}
	s.getFaults(w, r)
}

// getFaults lists the faults that are on.
func (s *switches) getFaults(w http.ResponseWriter, _ *http.Request) {
	on := []fault.Spec{}
	for _, f := range s.store.Faults() {
		on = append(on, fault.Spec{Kind: fault.Kind(f.Kind), For: config.Duration(f.For), Factor: f.Factor})
	}
	write(w, http.StatusOK, on)
}

// clearFaults turns the kind of ?kind= off, or all.
func (s *switches) clearFaults(w http.ResponseWriter, r *http.Request) {
	if kind := r.URL.Query().Get("kind"); kind != "" {
		s.store.Clear(memstore.FaultKind(kind))
	} else {
		s.store.ClearAll()
	}
	w.WriteHeader(http.StatusNoContent)
}

// setInstances replaces the list of VMs.
func (s *switches) setInstances(w http.ResponseWriter, r *http.Request) {
	var list wire.InstancesResponse
	if err := read(w, r, &list); err != nil {
		fail(w, err)
		return
	}
	s.store.SetInstances(list.Instances)
	w.WriteHeader(http.StatusNoContent)
}

// getCalls answers the counts by kind of call.
func (s *switches) getCalls(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, s.store.Calls())
}
