package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/httplimits"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/wire"
)

// DefaultTimeout bounds a call where Config names none.
const DefaultTimeout = 2 * time.Second

// maxIdleConnections bounds the connections kept for the next calls.
const maxIdleConnections = 32

// maxAnswerBytes bounds an answer that is read.
const maxAnswerBytes = 128 << 20

// Config says where the platform is.
type Config struct {
	// Address is the service's host and port.
	Address string
	// Timeout bounds each call; a watch has its wait on top.
	Timeout time.Duration
	// Transport is nil but in tests.
	Transport http.RoundTripper
}

// Client implements platform.Store, platform.Instances and platform.Weights
// and is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	http    *http.Client
}

// New returns a client; it connects at the first call.
func New(config Config) *Client {
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	if config.Transport == nil {
		config.Transport = newTransport()
	}
	return &Client{
		address: config.Address,
		timeout: config.Timeout,
		http:    &http.Client{Transport: config.Transport},
	}
}

// newTransport returns a transport of our own with bounded idle connections.
func newTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConns = maxIdleConnections
	transport.MaxIdleConnsPerHost = maxIdleConnections
	transport.MaxResponseHeaderBytes = httplimits.HeadBytes
	return transport
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call sends question, reads the answer and wraps the error, within the
// timeout plus wait.
func (c *Client) call(ctx context.Context, call platform.Call, wait time.Duration, question, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	err := c.exchange(ctx, call, question, answer)
	return errs.Wrap(errs.Platform, err, string(call), c.address)
}

// exchange is one request and its answer.
func (c *Client) exchange(ctx context.Context, call platform.Call, question, answer any) error {
	request, err := c.request(ctx, call, question)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unavailable(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return unavailable(err)
	}
	if response.StatusCode == http.StatusOK {
		return decode(body, answer)
	}
	return failure(response.StatusCode, body)
}

// request encodes the question.
func (c *Client) request(ctx context.Context, call platform.Call, question any) (*http.Request, error) {
	body, err := json.Marshal(question)
	if err != nil {
		return nil, err
	}
	url := "http://" + c.address + wire.Path(call)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// unavailable marks an error after which the call may have taken effect.
func unavailable(err error) error { return errors.Join(platform.ErrUnavailable, err) }

// decode reads the answer; one that can't be read is a lost one.
func decode(body []byte, answer any) error {
	if err := json.Unmarshal(body, answer); err != nil {
		return unavailable(err)
	}
	return nil
}

// failure reads the body of a refused call. A refusal that does not come from
// the platform itself tells nothing of the call's effect.
func failure(status int, body []byte) error {
	var told wire.Failure
	if err := json.Unmarshal(body, &told); err != nil || told.Status() != status {
		return unavailable(fmt.Errorf("answer has status %d without a known failure", status))
	}
	return told.Err()
}
