package routesource

import (
	"errors"
	"strconv"
	"testing"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/route"
)

// decode reads a document that is only its version.
func decode(document []byte) (*route.Document, error) {
	version, err := strconv.ParseInt(string(document), 10, 64)
	if err != nil {
		return nil, errors.New("no version")
	}
	return &route.Document{Version: version}, nil
}

func TestATableNeverGoesBack(t *testing.T) {
	c := New(decode)
	for _, step := range []struct {
		document string
		changed  bool
		version  int64
	}{{"3", true, 3}, {"7", true, 7}, {"5", false, 7}, {"7", false, 7}, {"x", false, 7}} {
		changed, _ := c.Take([]byte(step.document), 10)
		if changed != step.changed || c.Get().Version() != step.version {
			t.Errorf("after %s: changed %v, version %d", step.document, changed, c.Get().Version())
		}
	}
}

func TestOnlyTheVersionInForceIsProved(t *testing.T) {
	c := New(decode)
	c.Prove(3, 100)
	if c.Get().ProvenAt != 0 {
		t.Error("a proof without a table counts")
	}
	_, _ = c.Take([]byte("3"), 10)
	for _, step := range []struct {
		version, at, want int64
	}{{3, 20, 20}, {2, 30, 20}, {4, 40, 20}, {3, 15, 20}, {3, 50, 50}} {
		c.Prove(step.version, instant(step.at))
		if got := c.Get().ProvenAt; got != instant(step.want) {
			t.Errorf("after a proof of %d at %d: proved at %d, want %d", step.version, step.at, got, step.want)
		}
	}
	_, _ = c.Take([]byte("2"), 90)
	if got := c.Get().ProvenAt; got != 50 {
		t.Errorf("an older document proves the table at %d", got)
	}
	_, _ = c.Take([]byte("9"), 45)
	if got := c.Get().ProvenAt; got != 45 {
		t.Errorf("a new table was proved at %d, want the instant it was read", got)
	}
}

func instant(n int64) boottime.Instant { return boottime.Instant(n) }
