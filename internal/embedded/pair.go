package embedded

import (
	"errors"
	"net"
	"time"
)

// The data centres of a Pair.
const (
	West = "west"
	East = "east"
)

// Pair is two deployments, each with a platform and stand-ins of its own, that
// move sets to each other. The engines' model is served in the west and
// prepared in the east.
type Pair struct {
	West, East *Deployment
}

// StartPair starts both sides; what names and links them is set here.
func StartPair(west, east Options) (*Pair, error) {
	west, east = west.withDefaults(), east.withDefaults()
	west.DataCentre, east.DataCentre = West, East
	east.Away = []string{engineUpstream}
	var err error
	var atWest, atEast []string
	if west.Peers, atWest, err = listenPeers(west.Nodes); err != nil {
		return nil, err
	}
	if east.Peers, atEast, err = listenPeers(east.Nodes); err != nil {
		return nil, err
	}
	west.Counterparts = map[string][]string{East: atEast}
	east.Counterparts = map[string][]string{West: atWest}
	p := &Pair{}
	if p.West, err = Start(west); err != nil {
		return nil, err
	}
	if p.East, err = Start(east); err != nil {
		p.West.Close()
		return nil, err
	}
	return p, nil
}

// listenPeers takes n free ports.
func listenPeers(n int) (listeners []net.Listener, addresses []string, err error) {
	for range n {
		l, err := listen(0, 0)
		if err != nil {
			return nil, nil, err
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	return listeners, addresses, nil
}

// Stop shuts both sides down gracefully.
func (p *Pair) Stop(timeout time.Duration) error {
	return errors.Join(p.West.Stop(timeout), p.East.Stop(timeout))
}

// Close ends both sides at once.
func (p *Pair) Close() {
	p.West.Close()
	p.East.Close()
}
