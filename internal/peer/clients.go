package peer

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
)

// clientShards is the number of locks of the pool.
const clientShards = 16

// Clients is a pool of HTTP clients by peer address. It is safe for concurrent
// use.
type Clients struct {
	keys     *Keys
	settings Settings
	failures *prometheus.CounterVec
	shards   [clientShards]clientShard
}

type clientShard struct {
	mu      sync.Mutex
	clients map[string]*client
}

// client is the pool's entry of one address.
type client struct {
	http      *http.Client
	transport *http.Transport
	// generation is that of the keys its connections were made with.
	generation int64
	used       atomic.Int64
}

// NewClients returns an empty pool.
func NewClients(keys *Keys, settings Settings, registerer prometheus.Registerer) *Clients {
	c := &Clients{
		keys:     keys,
		settings: settings.withDefaults(),
		failures: newCallErrorCounter(registerer),
	}
	for i := range c.shards {
		c.shards[i].clients = make(map[string]*client)
	}
	return c
}

// HTTPClient returns the client for a peer's address (IP number and port).
// Its errors carry the step and the peer.
func (c *Clients) HTTPClient(address string) *http.Client {
	shard := c.shard(address)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	generation := c.generation()
	entry, ok := shard.clients[address]
	if ok && entry.generation != generation {
		entry.transport.CloseIdleConnections()
		ok = false
	}
	if !ok {
		shard.evict(c.settings.MaxPeers / clientShards)
		entry = c.newClient(address, generation)
		shard.clients[address] = entry
	}
	entry.used.Store(time.Now().UnixNano())
	return entry.http
}

// URL returns the base address for connect's generated client constructors.
func (c *Clients) URL(address string) string {
	if c.keys.Enabled() {
		return "https://" + address
	}
	return "http://" + address
}

// Forget drops the client of an address whose node is gone. Calls in flight
// end by themselves.
func (c *Clients) Forget(address string) {
	shard := c.shard(address)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.remove(address)
}

// Close drops all clients.
func (c *Clients) Close() {
	for i := range c.shards {
		c.shards[i].clear()
	}
}

func (c *Clients) shard(address string) *clientShard {
	return &c.shards[xxhash.Sum64String(address)%clientShards]
}

func (c *Clients) generation() int64 {
	if set := c.keys.current.Load(); set != nil {
		return set.generation
	}
	return 0
}

// evict makes room for one more client under the bound.
func (s *clientShard) evict(bound int) {
	if len(s.clients) < max(bound, 1) {
		return
	}
	oldest := ""
	for address, entry := range s.clients {
		if oldest == "" || entry.used.Load() < s.clients[oldest].used.Load() {
			oldest = address
		}
	}
	s.remove(oldest)
}

func (s *clientShard) remove(address string) {
	entry, ok := s.clients[address]
	if !ok {
		return
	}
	entry.transport.CloseIdleConnections()
	delete(s.clients, address)
}

func (s *clientShard) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.clients {
		s.remove(address)
	}
}
