package zonetraffic

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// Guards against a metric that operators are not told of.
func TestEveryMetricIsOnTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/hard-load.md")
	if err != nil {
		t.Fatal(err)
	}
	registry := prometheus.NewRegistry()
	NewMetrics(registry)
	descriptions := make(chan *prometheus.Desc, 10)
	registry.Describe(descriptions)
	close(descriptions)
	for d := range descriptions {
		if name := regexp.MustCompile(`fqName: "([^"]+)"`).FindStringSubmatch(d.String())[1]; !strings.Contains(string(page), "`"+name+"{") {
			t.Errorf("%s is not on the page", name)
		}
	}
}
