package capacity

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
	"galenatrestle/internal/leaving"
)

// Leaving measures the signs that replicas are leaving.
func Leaving(fleet Fleet, signs []int) ([]Slope, error) {
	base := Slope{Role: RoleLeaving, Against: "replicas that leave", Target: fleet.ReplicasPerRegion()}
	memory, notes := base, base
	memory.Quantity, memory.Unit = "heap", "B"
	notes.Quantity, notes.Unit = "bytes of notes, once to each member", "B"
	for _, n := range signs {
		published := &noteCounter{}
		memory.add(n, heapOf(func() *leaving.Tracker {
			t := leaving.NewTracker(published, prometheus.NewRegistry())
			for i := range n {
				t.RecordEngineLeaving(fmt.Sprintf("model-%d-%d", i%8, i/8))
			}
			return t
		}))
		notes.add(n, float64(published.bytes))
	}
	return fitAll(memory, notes)
}

// noteCounter counts the notes' encoded bytes. It implements
// leaving.Publisher.
type noteCounter struct{ bytes int }

// Publish implements leaving.Publisher.
func (c *noteCounter) Publish(n *membershipv1.Note) error {
	c.bytes += proto.Size(n)
	return nil
}
