package replicapath

import (
	"context"
	"errors"
	"net"
	"time"
)

// relayDialTimeout bounds opening one connection through other nodes, of which several may be
// tried.
const relayDialTimeout = 600 * time.Millisecond

// dialThroughNode opens a connection through another node. It returns errNoHelper if none can
// help.
func (d *Dialer) dialThroughNode(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	for _, helper := range d.nextHelpers() {
		conn, err := d.dialThrough(ctx, helper, address)
		d.metrics.recordRelayed(err)
		if err == nil || isOfReplica(err) || ctx.Err() != nil {
			return conn, err
		}
		d.options.Log.Write(&helperFailed{helper: helper, address: address, err: err})
		d.mu.Lock()
		d.helpers.markUnable(time.Now(), helper)
		d.mu.Unlock()
	}
	return nil, errNoHelper
}

func (d *Dialer) nextHelpers() []Helper {
	if d.dialThrough == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.helpers.next(time.Now(), d.options.Rand, d.options.Helpers)
}

// DialForNode opens a direct connection for another node that reaches no replica. It returns
// ErrNoReplica if there is none at the address, and ErrPathLost if this node reaches none either.
func (d *Dialer) DialForNode(ctx context.Context, address string) (net.Conn, error) {
	if !d.options.MayConnect(address) {
		return nil, ErrNoReplica
	}
	if d.Lost() {
		return nil, ErrPathLost
	}
	conn, err := d.dialDirect(ctx, address)
	if err != nil && ctx.Err() == nil && d.loses(ctx, address) {
		return nil, errors.Join(ErrPathLost, err)
	}
	return conn, err
}

// loses records that no connection to the address could be opened, and reports whether the path
// is lost.
func (d *Dialer) loses(ctx context.Context, address string) bool {
	if d.needsCheck(address) {
		return d.check(ctx, reasonConnectFailures)
	}
	return d.Lost()
}
