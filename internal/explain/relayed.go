package explain

import "unsafe"

// Relayed says that another data centre answered the request.
type Relayed struct {
	Peer string
}

func (e *Relayed) line() Line {
	return Line{
		Step: "relay", Peer: e.Peer, Decision: "relayed",
		Reason: "another data centre serves the upstream and gave the answer under its own request id",
	}
}

func (e *Relayed) size() int { return int(unsafe.Sizeof(*e)) + len(e.Peer) }
