// Package metricstest compares what a node registers with the operators' page on it.
package metricstest

import (
	"os"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

var (
	registeredName = regexp.MustCompile(`fqName: "([^"]+)"`)
	pageName       = regexp.MustCompile("(?m)^\\| `(trestle_[a-z_]+)`")
)

// runtimeName is that of a metric of the Go runtime or of the process, which
// client_golang documents.
var runtimeName = regexp.MustCompile(`^(go|process)_`)

// ComparePage fails the test for each metric that only the registry or only the page
// has, those of the runtime and of the process left out.
func ComparePage(t *testing.T, registry *prometheus.Registry, path string) {
	t.Helper()
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	onPage := make(map[string]bool)
	for _, match := range pageName.FindAllStringSubmatch(string(page), -1) {
		onPage[match[1]] = true
	}
	registered := namesOf(registry)
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

// namesOf is the names of the metrics in the registry.
func namesOf(registry *prometheus.Registry) map[string]bool {
	names := make(map[string]bool)
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	for description := range descriptions {
		if name := registeredName.FindStringSubmatch(description.String())[1]; !runtimeName.MatchString(name) {
			names[name] = true
		}
	}
	return names
}
