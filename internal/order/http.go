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

	"galenatrestle/internal/httplimits"
	"galenatrestle/internal/openai"
)

// maxStateBytes limits the response body of GET /orders.
const maxStateBytes = 1 << 20

// HTTPTransport sends orders over HTTP. Each order uses its own connection and checks the
// guard before each write, so that no order is sent late after a process pause.
type HTTPTransport struct {
	dialer      net.Dialer
	stateClient *http.Client
}

// NewHTTPTransport returns a transport.
func NewHTTPTransport() *HTTPTransport {
	t := &HTTPTransport{}
	t.stateClient = &http.Client{Transport: &http.Transport{
		DialContext: t.dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: httplimits.HeadBytes,
	}}
	return t
}

// guardedConn calls the guard before each write.
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

// guardedClient returns a client for one order. It must not be shared, as a shared client
// may use a connection dialled for one request, with its guard, for another.
func (t *HTTPTransport) guardedClient(guard Guard) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := t.dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, guard: guard}, nil
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: httplimits.HeadBytes,
	}}
}

// Send implements Transport.
func (t *HTTPTransport) Send(ctx context.Context, target Target, order openai.Order, guard Guard) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	// The client may wrap the error of the guard, so it is kept separately.
	var held atomic.Pointer[HoldError]
	client := t.guardedClient(func() error { return recordHold(&held, guard()) })
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	// Without GetBody the client cannot resend the order.
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
	response, err := t.stateClient.Do(request)
	if err != nil {
		return state, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return state, ErrNoOrders
	}
	if response.StatusCode != http.StatusOK {
		return state, fmt.Errorf("order: engine answered GET /orders with status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state)
	return state, err
}

func recordHold(held *atomic.Pointer[HoldError], err error) error {
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
	return fmt.Errorf("order: engine answered POST /orders with status %d", status)
}
