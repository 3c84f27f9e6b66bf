package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Entries chooses the entry address of each request: round robin over a fixed
// list, or over the answer of GET /entries for as long as it may be kept.
type Entries struct {
	client *http.Client
	ask    bool

	mu        sync.Mutex
	addresses []string
	next      int
	expires   time.Time
}

// entryList is the answer of GET /entries.
type entryList struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	TTLSeconds int `json:"ttl_seconds"`
}

// NewEntries uses the addresses (host:port) as given, or, with ask, asks them
// for the entries to use.
func NewEntries(client *http.Client, addresses []string, ask bool) *Entries {
	return &Entries{client: client, addresses: addresses, ask: ask}
}

// Next returns the address for the next request.
func (e *Entries) Next(ctx context.Context) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ask && !time.Now().Before(e.expires) {
		e.refreshLocked(ctx)
	}
	e.next++
	return e.addresses[e.next%len(e.addresses)]
}

// refreshLocked asks the known addresses in turn; where none answers the old
// list is kept for a second more.
func (e *Entries) refreshLocked(ctx context.Context) {
	e.expires = time.Now().Add(time.Second)
	for _, address := range e.addresses {
		list, err := e.fetch(ctx, address)
		if err != nil || len(list.Entries) == 0 {
			continue
		}
		e.addresses = e.addresses[:0:0]
		for _, entry := range list.Entries {
			e.addresses = append(e.addresses, entry.Address)
		}
		e.expires = time.Now().Add(time.Duration(list.TTLSeconds) * time.Second)
		return
	}
}

func (e *Entries) fetch(ctx context.Context, address string) (*entryList, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/entries", nil)
	if err != nil {
		return nil, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answers /entries with %s", address, response.Status)
	}
	var list entryList
	return &list, json.NewDecoder(response.Body).Decode(&list)
}
