package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"galenatrestle/internal/pause"
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
	// stream is the name of the stream that the call is for, empty for other calls. after is the last
	// event that the caller had before, and resumes the attempt that brought the first one; empty: the
	// stream is new.
	stream  string
	after   int
	resumes string
	// parts are the shared parts of the stream's prompt, and ends is whether one of them ends replicas.
	parts []string
	ends  bool
	// events are the complete events that came.
	events []platformtest.StreamEvent
	// comesBack is whether the caller was refused before.
	comesBack bool
	// retryAfter is how long a refusal asked the caller to wait.
	retryAfter time.Duration
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
	// entries are the nodes' addresses as last told.
	entries []string
}

func newCaller(w *world, i int) *caller {
	return &caller{
		world: w, name: fmt.Sprintf("%d-%d", w.options.Seed, i),
		random: rand.New(rand.NewPCG(w.options.Seed, uint64(100+i))),
		client: newClient(2),
	}
}

// newClient returns a client that keeps so many idle connections to each node.
func newClient(idle int) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idle, DisableCompression: true,
	}}
}

// pauseBetween is the time between a caller's calls.
const pauseBetween = 20 * time.Millisecond

// run sends calls until ctx ends.
func (c *caller) run(ctx context.Context) {
	c.repeat(ctx, pauseBetween, func(entry string) { c.resume(ctx, c.call(entry)) })
}

// repeat sends calls to nodes drawn at random until ctx ends.
func (c *caller) repeat(ctx context.Context, pause time.Duration, call func(entry string)) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if c.count%20 == 0 || len(c.entries) == 0 {
			c.entries = c.resolve(c.entries)
		}
		c.count++
		if len(c.entries) > 0 {
			call(c.anyEntry())
		}
		time.Sleep(pause)
	}
}

func (c *caller) anyEntry() string { return c.entries[c.random.IntN(len(c.entries))] }

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
	s := &sent{id: fmt.Sprintf("%s-%d", c.name, c.count), entry: entry}
	s.path = cmp.Or(c.world.options.path, []string{"/claim/", "/parts/", platformtest.StreamPath}[c.random.IntN(3)])
	if s.path == platformtest.StreamPath {
		s.stream = s.id
		if c.world.options.PartCrash != nil {
			s.parts = drawParts(c.random)
		}
	}
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

const (
	// callerPatience is how long a caller waits for an answer, the tries to resume it included.
	callerPatience = 4 * time.Second
	callerTimeout  = callerPatience + time.Second
)

// send sends the call and notes what its caller sees.
func (c *caller) send(s *sent, target, content string) {
	c.sendWithin(callerPatience, s, target, content)
}

func (c *caller) sendWithin(patience time.Duration, s *sent, target, content string) {
	s.at = time.Now()
	defer func() { s.endedAt = time.Now() }()
	c.calls = append(c.calls, s)
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
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
	request.Header.Set(platformtest.HeaderDeadline, strconv.FormatInt(patience.Milliseconds(), 10))
	if s.resumes != "" {
		request.Header.Set(platformtest.HeaderResumes, s.resumes)
		request.Header.Set(platformtest.HeaderLastEvent, strconv.Itoa(s.after))
	}
	if len(s.parts) > 0 {
		request.Header.Set(platformtest.HeaderParts, promptHeader(s.parts, c.random))
	}
	response, err := c.client.Do(request)
	if err != nil {
		s.err = err
		return
	}
	defer response.Body.Close()
	s.status, s.stamp = response.StatusCode, response.Header.Get(platformtest.HeaderStamp)
	s.limited = response.Header.Get(platformtest.HeaderRate) != ""
	s.leaving = response.Header.Get(platformtest.HeaderLeaving) != ""
	s.retryAfter = pause.ParseRetryAfter(response.Header.Get("Retry-After"))
	body, err := io.ReadAll(response.Body)
	s.body, s.err = string(body), err
	if s.stream != "" && s.status == http.StatusOK {
		s.events, _ = platformtest.ParseEvents(s.body)
	}
}
