package edge

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// metricName finds the names of metrics where they are defined.
var metricName = regexp.MustCompile(`Name:\s*"(trestle_[a-z_]+[a-z])"`)

// TestEachMetricIsOnTheOperatorsPage looks for the metrics that the sources define
// on the page that tells what they mean.
func TestEachMetricIsOnTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range metricName.FindAllSubmatch(source, -1) {
			found++
			if name := string(match[1]); !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("%s of %s is not on the page", name, path)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if found == 0 {
		t.Error("no metric was found in the sources")
	}
}
