package soak

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The ports for the nodes are below those that the system gives to outgoing
// connections, so that none of these takes a node's port while it is restarted.
const (
	firstPort = 12000
	lastPort  = 30000
)

// portList gives out each port once.
type portList struct {
	mu   sync.Mutex
	next int
}

// ports are those of all runs of this process. Another soak beside it begins at
// another place: it must not take a port while a node of this one is restarted.
var ports = portList{next: firstPort + os.Getpid()*portsApart%(lastPort-firstPort)}

// portsApart is more than the ports of one soak of fifty seeds.
const portsApart = 1009

// free returns a loopback address on which nobody listens.
func (p *portList) free() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range lastPort - firstPort {
		p.next++
		if p.next >= lastPort {
			p.next = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, lastPort)
}
