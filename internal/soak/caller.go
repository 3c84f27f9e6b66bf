package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"galenatrestle/platform"
	"galenatrestle/platform/platformtest"
)

// sent is one call as its caller saw it.
type sent struct {
	id     string
	key    string
	path   string
	at     time.Time
	status int
	body   string
	stamp  string
	err    error
	// entry is the node's address that it was sent to, and endedAt when its answer was whole.
	// limited and leaving are whether the answer had its replica's rate, or said that the replica
	// is leaving.
	entry   string
	endedAt time.Time
	limited bool
	leaving bool
}

// whole says whether the caller got the whole answer.
func (s *sent) whole() bool { return s.err == nil && s.status == http.StatusOK }

// caller sends calls one after the other on connections that it keeps.
type caller struct {
	world  *world
	random *rand.Rand
	name   string
	client *http.Client
	calls  []*sent
	count  int
}

func newCaller(w *world, i int) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{
		world: w, name: fmt.Sprintf("%d-%d", w.options.Seed, i),
		random: rand.New(rand.NewPCG(w.options.Seed, uint64(100+i))),
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, DisableCompression: true,
		}},
	}
}

// pauseBetween is the time between a caller's calls.
const pauseBetween = 20 * time.Millisecond

// run sends calls until ctx ends.
func (c *caller) run(ctx context.Context) { c.repeat(ctx, pauseBetween, c.call) }

// repeat sends calls to nodes drawn at random until ctx ends.
func (c *caller) repeat(ctx context.Context, pause time.Duration, call func(entry string) *sent) {
	defer c.client.CloseIdleConnections()
	var entries []string
	for ctx.Err() == nil {
		if c.count%20 == 0 || len(entries) == 0 {
			entries = c.resolve(entries)
		}
		c.count++
		if len(entries) == 0 {
			time.Sleep(pause)
			continue
		}
		c.calls = append(c.calls, call(entries[c.random.IntN(len(entries))]))
		time.Sleep(pause)
	}
}

// resolve asks nodes which addresses to use, and keeps the last answer where
// none tells.
func (c *caller) resolve(last []string) []string {
	for range 3 {
		n := c.world.nodes[c.random.IntN(len(c.world.nodes))]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		addresses, err := c.ask(ctx, n)
		cancel()
		if err == nil && len(addresses) > 0 {
			return addresses
		}
	}
	return last
}

func (c *caller) ask(ctx context.Context, n *node) ([]string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+platform.Wire{}.ResolvePath()+"?name="+platformtest.Host, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	return answer.Addresses, json.NewDecoder(response.Body).Decode(&answer)
}

// call sends one call of a kind drawn at random.
func (c *caller) call(entry string) *sent {
	s := &sent{id: fmt.Sprintf("%s-%d", c.name, c.count), at: time.Now(), entry: entry}
	s.path = []string{"/claim/", "/parts/", "/chat/"}[c.random.IntN(3)]
	c.world.mu.Lock()
	s.key = c.world.keys[c.random.IntN(len(c.world.keys))]
	for key := range c.world.revoked {
		if c.random.IntN(20) == 0 {
			s.key = key
		}
	}
	c.world.mu.Unlock()
	c.send(s, s.path+s.id, "body of "+s.id)
	return s
}

// send sends the call and notes what its caller sees.
func (c *caller) send(s *sent, target, content string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entry+target, strings.NewReader(content))
	if err != nil {
		s.err = err
		return
	}
	// A body that cannot be had again keeps the client from sending twice.
	request.GetBody = nil
	request.Host = platformtest.Host
	request.Header.Set(platformtest.HeaderID, s.id)
	request.Header.Set(platformtest.HeaderKey, s.key)
	request.Header.Set(platformtest.HeaderDeadline, "4000")
	response, err := c.client.Do(request)
	if err != nil {
		s.err = err
		return
	}
	defer response.Body.Close()
	s.status, s.stamp = response.StatusCode, response.Header.Get(platformtest.HeaderStamp)
	s.limited = response.Header.Get(platformtest.HeaderRate) != ""
	s.leaving = response.Header.Get(platformtest.HeaderLeaving) != ""
	body, err := io.ReadAll(response.Body)
	s.body, s.err, s.endedAt = string(body), err, time.Now()
}
