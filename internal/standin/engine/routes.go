package engine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"galenatrestle/internal/openai"
	"galenatrestle/internal/standin/fault"
	"galenatrestle/internal/standin/reply"
)

// maxBodyBytes bounds the bodies an engine reads.
const maxBodyBytes = 16 << 20

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /v1/models", e.listModels)
	mux.HandleFunc("GET /load", e.reportLoad)
	mux.HandleFunc("GET /cache/events", e.listCacheEvents)
	mux.HandleFunc("POST /orders", e.takeOrder)
	mux.HandleFunc("GET /orders", e.readOrders)
	mux.HandleFunc("POST /cancel/{id}", e.cancelByID)
	mux.HandleFunc("POST /kv/export", e.exportKV)
	mux.HandleFunc("POST /kv/import", e.importKV)
	return mux
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	names := e.orders.models()
	e.mu.Unlock()
	list := openai.ModelList{Object: "list"}
	for _, name := range names {
		list.Data = append(list.Data, openai.Model{
			ID: name, Object: "model", Created: e.started.Unix(), OwnedBy: e.opts.Name,
		})
	}
	reply.JSON(w, http.StatusOK, list)
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	_, leaving := e.faults.Get(fault.Leaving)
	e.mu.Lock()
	sample := e.load.report()
	report := openai.LoadReport{
		Running: sample.running, Waiting: sample.waiting,
		Slots:     e.opts.Slots,
		AgeMillis: max(0, e.opts.LoadLag.Milliseconds()),
		Leaving:   leaving,
		Models:    e.orders.models(),
		Role:      e.orders.state.Role,
	}
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, report)
}

func (e *Engine) listCacheEvents(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	sequence, err := strconv.ParseInt(cmp.Or(after, "0"), 10, 64)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "bad_request", fmt.Sprintf("field after: value %q is no number", after))
		return
	}
	e.mu.Lock()
	events := e.events.after(sequence)
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, events)
}

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var order openai.Order
	if !readJSON(w, r, &order) {
		return
	}
	switch order.Kind {
	case openai.OrderLoad, openai.OrderUnload, openai.OrderRole:
	default:
		reply.Error(w, http.StatusBadRequest, "bad_request", fmt.Sprintf("field kind: value %q is unknown", order.Kind))
		return
	}
	e.mu.Lock()
	applied := e.orders.apply(order)
	state := e.orders.snapshot()
	e.mu.Unlock()
	if !applied {
		message := fmt.Sprintf("field epoch: value %d is below %d", order.Epoch, state.Epoch)
		reply.Error(w, http.StatusConflict, "old_epoch", message)
		return
	}
	reply.JSON(w, http.StatusOK, state)
}

func (e *Engine) readOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.orders.snapshot()
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, state)
}

func (e *Engine) cancelByID(w http.ResponseWriter, r *http.Request) {
	if !e.cancelRequest(r.PathValue("id")) {
		reply.Error(w, http.StatusNotFound, "unknown_request", "nothing of that id is running")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var selector openai.KVSelector
	if !readJSON(w, r, &selector) {
		return
	}
	prefixes := openai.PrefixHashes(selector.Model, selector.Text)
	e.mu.Lock()
	cached := e.cache.cached(prefixes)
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, openai.KVBlocks{Model: selector.Model, Hashes: prefixes[:cached]})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var blocks openai.KVBlocks
	if !readJSON(w, r, &blocks) {
		return
	}
	e.mu.Lock()
	e.cache.store(blocks.Hashes)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// readJSON reads the body, or writes a 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		reply.Error(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}
