package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"galenatrestle/platform/platformtest"
)

// outcome is what a client saw of one attempt.
type outcome struct {
	id, path, address string
	// sentAt is when the last byte of the request was sent; zero: it was not.
	sentAt, endedAt time.Time
	// status is zero if the connection ended without a complete answer.
	status int
	// kept is whether the connection had carried an answer before; begun whether the answer's head came.
	kept, begun bool
	err         error
}

// answered reports whether the client got a complete answer.
func (o *outcome) answered() bool { return o.status != 0 }

// outcomes collects what all clients saw.
type outcomes struct {
	mu   sync.Mutex
	list []outcome
}

func (o *outcomes) add(w *world, one outcome) {
	o.mu.Lock()
	o.list = append(o.list, one)
	o.mu.Unlock()
	w.note("client: attempt %s at %s: status %d, error %v, %.0f ms after it was sent", one.id, one.address, one.status, one.err, one.endedAt.Sub(one.sentAt).Seconds()*1e3)
}

// lookup is a client's copy of the addresses that it was told. It keeps them for the time that goes with them,
// or three times as long, and longer if it gets no new ones.
type lookup struct {
	directories []string
	addresses   []string
	failed      map[string]bool
	until       time.Time
	keepFactor  float64
	// keeps is whether the client uses connections again.
	keeps bool
	// open is the connection that the client keeps for its next request; nil: there is none.
	open *connection
}

// connection is a client's connection to a node.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	address string
	used    bool
}

// connect returns the kept connection, if the node is still told, or a new one to the address.
func (l *lookup) connect(address string) (*connection, error) {
	if c := l.open; c != nil {
		l.open = nil
		if slices.Contains(l.addresses, c.address) {
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn), address: address}, nil
}

// maxTTL is ttl_max_s of the sheets.
const maxTTL = 5.0

// refresh asks up to three nodes, one second each.
func (l *lookup) refresh() {
	for _, i := range rand.Perm(len(l.directories))[:min(3, len(l.directories))] {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + l.directories[i] + "/v1/resolve?name=" + host + "&region=west&zone=hall-a")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttlS"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK || err != nil || len(answer.Addresses) == 0 {
			continue
		}
		l.addresses, l.failed = answer.Addresses, make(map[string]bool)
		l.until = time.Now().Add(time.Duration(min(answer.TTL, maxTTL) * l.keepFactor * float64(time.Second)))
		return
	}
	// Nobody told anything: the addresses stay, and the next request asks again.
}

// pick returns a random address that has not failed this client; empty: there is none.
func (l *lookup) pick() string {
	if time.Now().After(l.until) {
		l.refresh()
	}
	usable := slices.DeleteFunc(slices.Clone(l.addresses), func(a string) bool { return l.failed[a] })
	if len(usable) == 0 {
		l.until = time.Time{}
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// The paths of the two routes: requests that may run once, and streams.
const (
	claimPath  = "/claim/"
	streamPath = platformtest.StreamPath
)

// runClients has clients send requests to the path, at the rate of all together, until ctx ends.
func (w *world) runClients(ctx context.Context, path string, count int, perSecond float64, keeps bool, seen *outcomes) {
	var directories []string
	for _, n := range w.nodes {
		directories = append(directories, n.directory)
	}
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() {
			l := &lookup{directories: directories, failed: make(map[string]bool), keepFactor: 1, keeps: keeps}
			if i%5 == 0 {
				l.keepFactor = 3
			}
			for n := 0; ; n++ {
				pause := time.Duration(rand.ExpFloat64() * float64(count) / perSecond * float64(time.Second))
				select {
				case <-ctx.Done():
					return
				case <-time.After(pause):
				}
				w.request(l, path, fmt.Sprintf("%s%d-%d", path[1:2], i, n), seen)
			}
		})
	}
	clients.Wait()
}

// request sends one request, and once more if the first attempt was refused as not run.
func (w *world) request(l *lookup, path, name string, seen *outcomes) {
	for try := range 2 {
		address := l.pick()
		if address == "" {
			return
		}
		one, retryAfter := l.attempt(path, fmt.Sprintf("%s-%d", name, try), address)
		seen.add(w, one)
		if one.sentAt.IsZero() {
			l.failed[address] = true
			continue
		}
		if one.status != http.StatusServiceUnavailable && one.status != http.StatusTooManyRequests {
			return
		}
		time.Sleep(min(retryAfter, deadline/3))
	}
}

// attempt sends one attempt and reads its answer.
func (l *lookup) attempt(path, id, address string) (outcome, time.Duration) {
	o := outcome{id: id, path: path, address: address}
	conn, err := l.connect(address)
	if err != nil {
		o.err, o.endedAt = err, time.Now()
		return o, 0
	}
	o.address, o.kept = conn.address, conn.used
	body := "body of " + id
	text := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, id, host, platformtest.HeaderID, id, platformtest.HeaderKey, key, platformtest.HeaderDeadline, deadlineOf(path).Milliseconds(), len(body), body)
	_ = conn.SetDeadline(time.Now().Add(deadlineOf(path)))
	response, err := o.exchange(conn, text)
	o.endedAt = time.Now()
	if err != nil {
		_ = conn.Close()
		o.err = err
		return o, 0
	}
	o.status = response.StatusCode
	conn.used = true
	if response.Close || !l.keeps {
		_ = conn.Close()
	} else {
		l.open = conn
	}
	seconds, _ := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	return o, seconds
}

// exchange sends the request and reads the whole answer.
func (o *outcome) exchange(conn *connection, text string) (*http.Response, error) {
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	o.sentAt = time.Now()
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return nil, err
	}
	o.begun = true
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// deadlineOf returns how long the clients of the path wait.
func deadlineOf(path string) time.Duration {
	if path == streamPath {
		return streamDeadline
	}
	return deadline
}
