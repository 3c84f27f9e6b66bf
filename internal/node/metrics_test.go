package node

import (
	"os"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/platform/memstore"
)

// metricsPage is the operators' page on metrics.
const metricsPage = "../../docs/operators/metrics.md"

var (
	registeredName = regexp.MustCompile(`fqName: "([^"]+)"`)
	pageName       = regexp.MustCompile("(?m)^\\| `(trestle_[a-z_]+)`")
)

// TestEveryMetricIsOnThePage compares what a node registers with the page, in
// both directions.
func TestEveryMetricIsOnThePage(t *testing.T) {
	registry := prometheus.NewRegistry()
	kv := memstore.New(memstore.Config{})
	n := New(Options{
		Name: "vm-0", AvailabilityZone: "z", Region: "r", Entry: listenLoopback(t), Peer: listenLoopback(t),
		Store: kv, Instances: kv, Registry: registry,
	})
	n.opsHandler()
	t.Cleanup(n.Close)
	registered := make(map[string]bool)
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	for description := range descriptions {
		registered[registeredName.FindStringSubmatch(description.String())[1]] = true
	}
	page, err := os.ReadFile(metricsPage)
	if err != nil {
		t.Fatal(err)
	}
	onPage := make(map[string]bool)
	for _, match := range pageName.FindAllStringSubmatch(string(page), -1) {
		onPage[match[1]] = true
	}
	for name := range registered {
		if !onPage[name] {
			t.Errorf("%s is not on the page", name)
		}
	}
	for name := range onPage {
		if !registered[name] {
			t.Errorf("%s is on the page, but no node has it", name)
		}
	}
	if len(registered) == 0 {
		t.Error("a node registers nothing")
	}
}
