package replicapathrpc

import (
	"net"
	"sync"
)

// upload writes what another node sends to a replica. It is safe for concurrent use.
type upload struct {
	replica net.Conn

	// mu is held during a write.
	mu  sync.Mutex
	err error
}

// copyFrom writes the stream's data to the replica. It closes the connection when the other
// node ends the stream.
func (u *upload) copyFrom(stream *serverStream) {
	defer u.replica.Close()
	for {
		request, err := stream.Receive()
		if err != nil || u.write(request.GetData()) != nil {
			return
		}
	}
}

func (u *upload) write(data []byte) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, u.err = u.replica.Write(data)
	return u.err
}

// writeError waits for a write in progress and returns the error of the last one. The kernel reports a reset once: if a
// write gets it, reading ends as if the replica had closed the connection in order.
func (u *upload) writeError() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}
