package upstream

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"galenatrestle/internal/httphead"
	"galenatrestle/internal/httplimits"
)

// Defaults of the connections to upstreams.
const (
	DefaultDialTimeout     = time.Second
	DefaultIdlePerAddress  = 64
	DefaultIdleTimeout     = 30 * time.Second
	DefaultStallTimeout    = 30 * time.Second
	DefaultMaxAnswerBytes  = 16 << 20
	DefaultMaxPayloadBytes = 1 << 20
	keepAliveProbeInterval = 15 * time.Second
	writeBufferBytes       = 16 << 10
	readBufferBytes        = 8 << 10
)

// Options tune a client. The zero value means the defaults.
type Options struct {
	// DialTimeout bounds the setting up of a connection.
	DialTimeout time.Duration
	// Dial opens connections; nil: TCP with DialTimeout.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// IdlePerAddress is the most idle connections kept to one address.
	IdlePerAddress int
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// StallTimeout is the longest wait for an engine's next bytes.
	StallTimeout time.Duration
	// MaxAnswerBytes bounds an answer that is not streamed.
	MaxAnswerBytes int64
	// MaxPayloadBytes bounds one event of a stream.
	MaxPayloadBytes int
	// Refused is called with each error answer of an engine; it must not block.
	// It may be nil.
	Refused func(EngineRefusal)
}

// EngineRefusal is what an engine's error answer says about the engine.
type EngineRefusal struct {
	Address string
	Code    string
	// Pause is how long the engine asks this node to send it nothing; zero if it
	// did run the call, or asks for nothing.
	Pause time.Duration
}

func (o Options) withDefaults() Options {
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.IdlePerAddress = cmp.Or(o.IdlePerAddress, DefaultIdlePerAddress)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.StallTimeout = cmp.Or(o.StallTimeout, DefaultStallTimeout)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.MaxPayloadBytes = cmp.Or(o.MaxPayloadBytes, DefaultMaxPayloadBytes)
	return o
}

// TCPDial returns a function that opens TCP connections to upstreams.
func TCPDial(timeout time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout, KeepAlive: keepAliveProbeInterval}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// newTransport returns a transport without proxies, compression or HTTP/2.
func newTransport(o Options) *http.Transport {
	dial := o.Dial
	if dial == nil {
		dial = TCPDial(o.DialTimeout)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    o.IdlePerAddress,
		IdleConnTimeout:        o.IdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: httplimits.HeadBytes,
		WriteBufferSize:        writeBufferBytes,
		ReadBufferSize:         readBufferBytes,
		Protocols:              protocols,
	}
}

// roundTrip sends the request and returns the response, whose head is HTTP.
func roundTrip(transport *http.Transport, request *http.Request) (*http.Response, error) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := httphead.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
