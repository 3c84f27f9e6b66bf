package forward_test

import (
	"fmt"
	"testing"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/route"
)

// Guards against streams that go on at a replica of another software version within one answer.
func TestStreamDoesNotGoOnAtAnotherVersion(t *testing.T) {
	tests := map[string]struct {
		versions []string
		ending   forward.Ending
		body     string
	}{
		"only another version is left":  {[]string{"v1", "v2"}, forward.EndedBroken, event1},
		"no version is known":           {[]string{"", ""}, forward.EndedComplete, event1 + event2},
		"the version serves elsewhere":  {[]string{"v1", "v2", "v2", "v1"}, forward.EndedComplete, event1 + event2},
		"a version that is not told":    {[]string{"v1", ""}, forward.EndedBroken, event1},
		"all replicas have the version": {[]string{"v1", "v1"}, forward.EndedComplete, event1 + event2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				began := ""
				list := make([]*forwardtest.Replica, len(test.versions))
				for i, version := range test.versions {
					list[i] = forwardtest.NewReplica(fmt.Sprint("i-", i), upstream, func(c *forwardtest.Conn) bool {
						if c.Request.Header.Get(forwardtest.HeaderLastEvent) == "" {
							began = version
							events(false, event1)(c)
							list[i].Crash()
							return false
						}
						if version != began {
							t.Errorf("a stream of version %q goes on at %q", began, version)
						}
						return events(true, event2)(c)
					})
					list[i].Version = version
				}
				w, ending := serve(t, forwardtest.NewFleet(t, list...), call(route.ResumableStream, 3))
				if ending != test.ending || w.Body.String() != test.body {
					t.Errorf("ending %s, body %q; want %s, %q", ending, w.Body, test.ending, test.body)
				}
			})
		})
	}
}
