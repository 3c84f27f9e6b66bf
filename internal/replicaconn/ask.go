package replicaconn

import (
	"context"
	"net"
)

// Ask sends the request on a new connection and returns nil once anything comes back.
func Ask(ctx context.Context, conn net.Conn, r *Request) error {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := conn.Write(append(r.head(), r.Body...)); err != nil {
		return err
	}
	var first [1]byte
	_, err := conn.Read(first[:])
	return err
}
