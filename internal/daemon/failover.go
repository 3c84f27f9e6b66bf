package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"galenatrestle/internal/httplimits"
)

const (
	dialTimeout            = 2 * time.Second
	maxIdlePlatformConns   = 32
	platformConnIdleLength = 90 * time.Second
)

// failover connects to the first of the platform's addresses that answers,
// beginning with the last good one. Only connecting is tried again: a call that
// was sent is never repeated at another address.
type failover struct {
	addresses []string
	good      atomic.Int32
	dialer    net.Dialer
}

func newFailover(addresses []string) *failover {
	return &failover{addresses: addresses, dialer: net.Dialer{Timeout: dialTimeout}}
}

func (f *failover) transport() *http.Transport {
	return &http.Transport{
		DialContext:            f.dial,
		MaxIdleConnsPerHost:    maxIdlePlatformConns,
		IdleConnTimeout:        platformConnIdleLength,
		MaxResponseHeaderBytes: httplimits.HeadBytes,
	}
}

func (f *failover) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	begin := int(f.good.Load())
	var first error
	for i := range f.addresses {
		at := (begin + i) % len(f.addresses)
		conn, err := f.dialer.DialContext(ctx, network, f.addresses[at])
		if err == nil {
			f.good.Store(int32(at))
			return conn, nil
		}
		if first == nil {
			first = err
		}
	}
	return nil, first
}
