package faultrun

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"galenatrestle/internal/gateway"
)

// addresses are the entries that a group of callers keeps for a while.
type addresses struct {
	client *http.Client

	mu    sync.Mutex
	list  []string
	next  int
	until time.Time
	// stale says that the list is kept longer than it may be, since no
	// address answered.
	stale bool
}

// take returns the addresses for copies of one request.
func (a *addresses) take(ctx context.Context, copies int) (chosen []string, stale bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !time.Now().Before(a.until) {
		a.refreshLocked(ctx)
	}
	for range copies {
		a.next++
		chosen = append(chosen, a.list[a.next%len(a.list)])
	}
	return chosen, a.stale
}

func (a *addresses) refreshLocked(ctx context.Context) {
	for _, address := range a.list {
		until := time.Now().Add(keepAddresses)
		list, err := a.ask(ctx, address)
		if err != nil || len(list.Entries) == 0 {
			continue
		}
		a.list = a.list[:0:0]
		for _, entry := range list.Entries {
			a.list = append(a.list, entry.Address)
		}
		a.until, a.stale = until, false
		return
	}
	a.stale = true
}

func (a *addresses) ask(ctx context.Context, address string) (*gateway.EntryList, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/entries", nil)
	if err != nil {
		return nil, err
	}
	response, err := a.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var list gateway.EntryList
	return &list, json.NewDecoder(response.Body).Decode(&list)
}
