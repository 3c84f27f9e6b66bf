package replicapath

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/replicaconn"
)

// Log writes events. It must not block.
type Log interface{ Write(eventlog.Event) }

// Options configures a Dialer.
type Options struct {
	// Direct opens direct connections.
	Direct replicaconn.Dial
	// Ask asks the replica at the other end of a new connection for any response, and returns an
	// error if none comes.
	Ask func(ctx context.Context, conn net.Conn) error
	// Addresses returns the addresses of the replicas that this node may use, in a new slice.
	Addresses func() []string
	// MayConnect reports whether other nodes may be connected to the address, as it may be that of a
	// replica.
	MayConnect func(address string) bool
	// Helpers returns up to n random other nodes that are ready or leaving.
	Helpers func(n int) []Helper
	// OnLost is called when the path is lost; may be nil.
	OnLost   func()
	Rand     *rand.Rand
	Log      Log
	Registry prometheus.Registerer
}

// DialThrough opens a connection to a replica's address through another node. An error that tells
// something of the replica is ErrUnreachable or ECONNREFUSED.
type DialThrough func(ctx context.Context, helper Helper, address string) (net.Conn, error)

// Dialer opens connections to replicas. It is safe for concurrent use.
type Dialer struct {
	options Options
	metrics *metrics
	traffic traffic
	// dialThrough is nil if connections through other nodes are not possible.
	dialThrough DialThrough

	// checking is held during a check, so that all who need one wait for the same.
	checking sync.Mutex

	// mu guards monitor, helpers and options.Rand.
	mu      sync.Mutex
	monitor monitor
	helpers helpers
}

// NewDialer returns a dialer whose path counts as working.
func NewDialer(options Options) *Dialer {
	return &Dialer{options: options, metrics: newMetrics(options.Registry)}
}

// SetDialThrough lets the dialer use other nodes. Call it before the first Dial.
func (d *Dialer) SetDialThrough(dial DialThrough) { d.dialThrough = dial }

// Dial opens a connection to a replica's address, through another node while this one reaches no
// replica and another one can help. It implements replicaconn.Dial.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d.Lost() {
		conn, err := d.dialThroughNode(ctx, address)
		if errors.Is(err, errNoHelper) {
			return d.dialDirect(ctx, address)
		}
		return conn, err
	}
	conn, err := d.dialDirect(ctx, address)
	if err == nil || ctx.Err() != nil || !d.loses(ctx, address) {
		return conn, err
	}
	conn, relayErr := d.dialThroughNode(ctx, address)
	if errors.Is(relayErr, errNoHelper) {
		return nil, err
	}
	return conn, relayErr
}

// dialDirect opens a direct connection whose traffic is recorded.
func (d *Dialer) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.options.Direct(ctx, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.monitor.connected()
	return &directConn{Conn: conn, traffic: &d.traffic}, nil
}

func (d *Dialer) needsCheck(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monitor.connectFailed(time.Now(), address)
}

// Check connects to some replicas, unless it has just been done, and reports whether this node
// reaches none.
func (d *Dialer) Check(ctx context.Context) bool {
	d.mu.Lock()
	lost, isFresh := d.monitor.isLost(), d.monitor.isFresh(time.Now())
	d.mu.Unlock()
	if lost || isFresh {
		return lost
	}
	return d.check(ctx, reasonCrash)
}

// Lost reports whether this node reaches no replica.
func (d *Dialer) Lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monitor.isLost()
}

const (
	// watchInterval is the interval at which silence is looked for and a lost path is checked.
	watchInterval = 200 * time.Millisecond
	// checkedReplicas is the number of replicas that a check asks at once.
	checkedReplicas = 2
	// recheckedReplicas is the number of further replicas that are asked before the path is held for lost, if the
	// first ones refuse connections.
	recheckedReplicas = 4
	// askTimeout bounds asking one of them, the connection included. They answer at once, also if all
	// their slots are taken.
	askTimeout = 500 * time.Millisecond
)

// Run looks for silence, and for the end of a lost path, until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if d.Lost() || d.isSilent(now) {
				d.check(ctx, reasonSilence)
			}
		}
	}
}

func (d *Dialer) isSilent(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monitor.isSilent(now, d.traffic.waited(now))
}

// check connects to some replicas and reports whether the path is lost: none of them could be
// reached. A check that ends with ctx has no result.
func (d *Dialer) check(ctx context.Context, reason string) bool {
	began := time.Now()
	d.checking.Lock()
	defer d.checking.Unlock()
	d.mu.Lock()
	checkedMeanwhile, lost := d.monitor.checkedAt.After(began), d.monitor.isLost()
	d.mu.Unlock()
	if checkedMeanwhile {
		return lost
	}
	addresses := d.replicasToProbe()
	probed := addresses[:min(len(addresses), checkedReplicas)]
	err := d.probe(ctx, probed)
	if others := addresses[len(probed):]; errors.Is(err, syscall.ECONNREFUSED) && !lost && len(others) > 0 {
		// Several replicas may be down at once, and what refuses a connection can be reached.
		probed = addresses
		err = d.probe(ctx, others)
	}
	if ctx.Err() != nil {
		return d.Lost()
	}
	return d.recordCheck(reason, probed, err)
}

// recordCheck records the result of a check and reports whether the path is lost.
func (d *Dialer) recordCheck(reason string, probed []string, err error) bool {
	now := time.Now()
	d.mu.Lock()
	event := &pathLost{reason: reason, failed: d.monitor.failedAddresses(), probed: probed, waited: d.traffic.waited(now), err: err}
	lostAt := d.monitor.lostAt
	changed := d.monitor.checked(now, err == nil)
	d.mu.Unlock()
	d.metrics.recordCheck(reason, err == nil)
	if err == nil {
		d.traffic.received()
	}
	switch {
	case !changed:
	case err == nil:
		d.options.Log.Write(&pathRegained{lostFor: now.Sub(lostAt), probed: probed})
	default:
		d.options.Log.Write(event)
		if d.options.OnLost != nil {
			d.options.OnLost()
		}
	}
	return err != nil
}

// replicasToProbe returns random replicas in the order in which they are asked, those that failed last.
func (d *Dialer) replicasToProbe() []string {
	addresses := d.options.Addresses()
	d.mu.Lock()
	defer d.mu.Unlock()
	shuffleLast(d.options.Rand, addresses, func(address string) bool { return d.monitor.failed[address] })
	return addresses[:min(len(addresses), checkedReplicas+recheckedReplicas)]
}

// probe asks the replicas at all addresses at once. It returns nil once one of them answered, or else
// one of the errors. A path may accept connections, as load balancers do, and carry nothing.
func (d *Dialer) probe(ctx context.Context, addresses []string) error {
	if len(addresses) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- d.ask(ctx, address) }()
	}
	var err error
	for range addresses {
		if err = <-results; err == nil {
			return nil
		}
	}
	return err
}

// ask asks the replica at the address on a connection of its own.
func (d *Dialer) ask(ctx context.Context, address string) error {
	conn, err := d.options.Direct(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return d.options.Ask(ctx, conn)
}
