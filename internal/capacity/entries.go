package capacity

import (
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/dispatch"
	"galenatrestle/internal/gateway"
)

const entryAsks = 500

// Entries measures one answer to GET /entries by the members of the region.
func Entries(fleet Fleet, nodes []int) ([]Slope, error) {
	base := Slope{Role: RoleEntries, Against: "nodes in the region", Target: fleet.NodesPerRegion()}
	bytes, cpu := base, base
	bytes.Quantity, bytes.Unit = "bytes of one answer", "B"
	cpu.Quantity, cpu.Unit = "processor time of one answer, without HTTP", "s"
	for _, n := range nodes {
		server := entryServer(fleet, n)
		request, err := http.NewRequest(http.MethodGet, "/entries?availability_zone=zone-0-1", nil)
		if err != nil {
			return nil, err
		}
		sink := &countingWriter{header: make(http.Header)}
		used := cpuOf(func() {
			for range entryAsks {
				server.ServeHTTP(sink, request)
			}
		})
		bytes.add(n, float64(sink.bytes)/entryAsks)
		cpu.add(n, used.Seconds()/entryAsks)
	}
	return fitAll(bytes, cpu)
}

// entryServer returns a callers' side whose region has n members.
func entryServer(fleet Fleet, n int) *gateway.Server {
	r := newRegion(1, n)
	r.run(settleFor)
	index := config.NewIndex(1, document(fleet, 1, 1))
	log := logrus.New()
	log.SetOutput(io.Discard)
	return gateway.New(gateway.Options{
		Node: regionNode(0, 0), Config: func() *config.Index { return index },
		Members:  r.tables[r.addresses[0]].Snapshot(),
		Dispatch: dispatch.New("zone-0-0", 1),
		Registry: prometheus.NewRegistry(), Log: log,
	})
}

// countingWriter is a response that counts its body.
type countingWriter struct {
	header http.Header
	bytes  int
}

// Header implements http.ResponseWriter.
func (w *countingWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *countingWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}
