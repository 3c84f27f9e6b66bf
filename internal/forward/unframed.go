package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

var (
	// errReplicaEnded means that a response without a length may have ended with its replica.
	errReplicaEnded = errors.New("response without a length ended, and the replica does not answer any more")
	// errResetWhileSending means that the connection of a response without a length may have been reset.
	errResetWhileSending = errors.New("response without a length ended, and the request could not be sent whole")
)

// askTimeout bounds asking a replica whether it is there. One that has ended refuses at once; a sound one may be silent
// for a second or so.
const askTimeout = 2 * time.Second

// checkEnd returns an error if the end of the response may be that of its replica, or a reset. A response with neither a
// length nor chunks ends with its connection, also if the replica has crashed or was stopped.
func (a *attempt) checkEnd() error {
	if a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0 || a.response.Body == http.NoBody {
		return nil
	}
	if err := a.conn.AwaitSent(); err != nil {
		return fmt.Errorf("%w: %v", errResetWhileSending, err)
	}
	if err := a.askReplica(); err != nil {
		return fmt.Errorf("%w: %v", errReplicaEnded, err)
	}
	return nil
}

// askReplica returns an error if the attempt's replica has ended. A process that is being ended may accept connections
// for a moment after it has closed others: only a response shows that it goes on. A replica that wants fewer requests
// is only connected to.
func (a *attempt) askReplica() error {
	r := a.placementAttempt.Replica
	options := &a.exchange.forwarder.options
	limit, limited := options.Permits.Limits().Of(&r)
	if limited && !limit.Brittle.Brittle || options.Pauses.Current().End(&r).After(time.Now()) {
		return options.CrashGuard.probe(a.ctx, r)
	}
	ctx, cancel := context.WithTimeout(a.ctx, askTimeout)
	defer cancel()
	return options.Ask(ctx, r)
}
