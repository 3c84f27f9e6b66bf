package peer

import "time"

// Settings bounds the client pool. Zero fields take the defaults.
type Settings struct {
	// MaxPeers is the number of addresses with a client of their own; the one
	// unused for longest goes first.
	MaxPeers int
	// MaxConnections bounds the connections to one peer.
	MaxConnections int
	// DialTimeout bounds connecting, key exchange included.
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for a response's headers. Calls that need
	// less set a deadline on their context.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection stays open after its last call.
	IdleTimeout time.Duration
}

// The defaults of Settings.
const (
	DefaultMaxPeers       = 512
	DefaultMaxConnections = 2
	DefaultDialTimeout    = 2 * time.Second
	DefaultHeaderTimeout  = time.Minute
	DefaultIdleTimeout    = 5 * time.Minute
)

func (s Settings) withDefaults() Settings {
	if s.MaxPeers == 0 {
		s.MaxPeers = DefaultMaxPeers
	}
	if s.MaxConnections == 0 {
		s.MaxConnections = DefaultMaxConnections
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.HeaderTimeout == 0 {
		s.HeaderTimeout = DefaultHeaderTimeout
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = DefaultIdleTimeout
	}
	return s
}
