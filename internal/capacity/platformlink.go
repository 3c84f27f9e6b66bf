package capacity

import (
	"context"
	"fmt"
	"net/http"

	"galenatrestle/internal/bytecount"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/httpstore"
	"galenatrestle/internal/platform/memstore"
	standin "galenatrestle/internal/standin/platform"
)

const (
	platformCalls = 200
	instanceReads = 10
	// readsOfReader is how often a reader reads the platform's list of VMs in a
	// second, readersPerRegion how many nodes are readers.
	readsOfReader    = 0.5
	readersPerRegion = 3
)

// platformLink is a client of the platform and the stand-in that answers it.
type platformLink struct {
	listener *bytecount.Listener
	store    *memstore.Store
	client   *httpstore.Client
	server   *http.Server
}

func newPlatformLink() (*platformLink, error) {
	listener, err := bytecount.Listen()
	if err != nil {
		return nil, err
	}
	store := memstore.New(memstore.Config{WritesPerSecond: 1e6, ReadsPerSecond: 1e6})
	link := &platformLink{
		listener: listener, store: store,
		client: httpstore.New(httpstore.Config{Address: listener.Addr().String()}),
		server: &http.Server{Handler: standin.API(store)},
	}
	go func() { _ = link.server.Serve(listener) }()
	return link, nil
}

func (l *platformLink) close() {
	l.client.Close()
	_ = l.server.Close()
}

// PlatformLink measures a write to the platform over loopback, both ends
// together, by the bytes of its value.
func PlatformLink(ctx context.Context, _ Fleet, sizes []int) ([]Slope, error) {
	defer fewCores()()
	base := Slope{Role: RolePlatformLink, Against: "bytes of the value", Target: 16 << 10}
	cpu, wire := base, base
	cpu.Quantity, cpu.Unit = "processor time of a write, both ends", "s"
	wire.Quantity, wire.Unit = "bytes on the connection", "B"
	link, err := newPlatformLink()
	if err != nil {
		return nil, err
	}
	defer link.close()
	revision := int64(0)
	for _, size := range sizes {
		value := make([]byte, size)
		before := link.listener.Bytes.Load()
		used := cpuOf(func() {
			for range platformCalls {
				var entry platform.Entry
				entry, err = link.client.CompareAndSwap(ctx, "capacity", revision, value)
				revision = entry.Revision
			}
		})
		if err != nil {
			return nil, err
		}
		cpu.add(size, used.Seconds()/platformCalls)
		wire.add(size, float64(link.listener.Bytes.Load()-before)/platformCalls)
	}
	return fitAll(cpu, wire)
}

// Instances measures what reading the platform's list of VMs costs a node, by
// the number of VMs in it.
func Instances(ctx context.Context, fleet Fleet, vms []int) ([]Slope, error) {
	base := Slope{Role: RoleInstances, Against: "VMs listed", Target: float64(fleet.Nodes + fleet.Replicas)}
	wire, cpu := base, base
	wire.Quantity, wire.Unit = "bytes of one read", "B"
	cpu.Quantity, cpu.Unit = "processor time of one read, both ends", "s"
	link, err := newPlatformLink()
	if err != nil {
		return nil, err
	}
	defer link.close()
	for _, n := range vms {
		link.store.SetInstances(instanceList(n))
		before := link.listener.Bytes.Load()
		used := cpuOf(func() {
			for range instanceReads {
				_, err = link.client.Instances(ctx)
			}
		})
		if err != nil {
			return nil, err
		}
		wire.add(n, float64(link.listener.Bytes.Load()-before)/instanceReads)
		cpu.add(n, used.Seconds()/instanceReads)
	}
	return fitAll(wire, cpu)
}

func instanceList(n int) []platform.Instance {
	list := make([]platform.Instance, 0, n)
	for i := range n {
		list = append(list, platform.Instance{
			Name: fmt.Sprintf("model-%d-%d", i%8, i/8), Address: fmt.Sprintf("10.%d.%d.1:8000", i%8, i/8),
			AvailabilityZone: fmt.Sprintf("region-%d-zone-%d", i%6, i%17), State: platform.InstanceLive,
		})
	}
	return list
}
