package order

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"galenatrestle/internal/openai"
)

// maxStateBytes bounds the answer of GET /orders.
const maxStateBytes = 1 << 20

// HTTPTransport sends orders by HTTP. Each order has a connection of its own,
// whose writes are guarded: what a pause holds back after the connection is
// made does not leave when the process goes on.
type HTTPTransport struct {
	dialer net.Dialer
	reader *http.Client
}

// NewHTTPTransport returns a transport.
func NewHTTPTransport() *HTTPTransport {
	t := &HTTPTransport{}
	t.reader = &http.Client{Transport: &http.Transport{DialContext: t.dialer.DialContext, DisableKeepAlives: true}}
	return t
}

// guardedConn asks the guard directly before each write.
type guardedConn struct {
	net.Conn
	guard Guard
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if err := c.guard(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// guarded returns a client for one order. It is not shared: a shared one may
// hand a connection made for one request to another.
func (t *HTTPTransport) guarded(guard Guard) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := t.dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, guard: guard}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

// Send implements Transport.
func (t *HTTPTransport) Send(ctx context.Context, target Target, order openai.Order, guard Guard) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	// The guard's own error is kept: the client may wrap it out of sight.
	var held atomic.Pointer[HoldError]
	client := t.guarded(func() error { return keep(&held, guard()) })
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	// Without GetBody the client can't send the order a second time by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if hold := held.Load(); hold != nil {
		return hold
	}
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return orderStatus(response.StatusCode)
}

// State implements Transport.
func (t *HTTPTransport) State(ctx context.Context, target Target) (openai.OrderState, error) {
	var state openai.OrderState
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+"/orders", nil)
	if err != nil {
		return state, err
	}
	response, err := t.reader.Do(request)
	if err != nil {
		return state, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return state, ErrNoOrders
	}
	if response.StatusCode != http.StatusOK {
		return state, fmt.Errorf("order: engine answered status %d to a read of its state", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state)
	return state, err
}

func keep(held *atomic.Pointer[HoldError], err error) error {
	var hold *HoldError
	if errors.As(err, &hold) {
		held.Store(hold)
	}
	return err
}

func orderStatus(status int) error {
	switch {
	case status == http.StatusConflict:
		return ErrFenced
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	}
	return fmt.Errorf("order: engine answered status %d", status)
}
