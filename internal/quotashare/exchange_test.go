package quotashare

import (
	"context"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
)

const fleetWindow = 20 * time.Second

// TestFleet measures the part of one quota that eight nodes admit together:
// over the first window, once settled, and through a fault and after it.
func TestFleet(t *testing.T) {
	last, next := name(fleetNodes-1), name(fleetNodes-2)
	killed := func(f *fleet) {
		f.offered[fleetNodes-1] = 0
		f.change(func() { f.dead[last] = true })
		time.AfterFunc(3*time.Second, func() {
			f.change(func() {
				f.gone[last] = true
				f.owner = func(string) string { return next }
			})
		})
	}
	oneWay := func(f *fleet) { f.change(func() { f.cut[[2]string{name(0), last}] = true }) }
	twoOwners := func(f *fleet) {
		f.change(func() {
			f.owner = func(self string) string {
				if self < name(fleetNodes/2) {
					return last
				}
				return next
			}
		})
	}
	swapped := func(f *fleet) { f.offered[0], f.offered[1] = f.offered[1], f.offered[0] }
	cases := []struct {
		name    string
		alone   bool
		offered []float64
		fault   func(f *fleet)
		// The bounds of the part admitted when settled, and in the window that
		// begins with the fault and the one after.
		least, most, faultLeast, faultMost float64
	}{
		{"even parts, one caller", true, oneNode(150, 0), nil, 0.12, 0.13, 0, 0},
		{"even parts, even callers", true, even(25), nil, 0.95, 1.05, 0, 0},
		{"one caller", false, oneNode(150, 0), nil, 0.88, 1, 0, 0},
		{"even callers", false, even(25), nil, 0.95, 1.05, 0, 0},
		{"skewed callers", false, oneNode(150, 6), nil, 0.85, 1.1, 0, 0},
		{"within the quota", false, oneNode(60, 3), nil, 0.79, 0.82, 0, 0},
		{"callers move", false, oneNode(150, 6), swapped, 0.85, 1.1, 0.7, 1.4},
		{"owner killed", false, oneNode(150, 6), killed, 0.85, 1.1, 0.4, 1.4},
		{"one-way cut", false, oneNode(150, 6), oneWay, 0.85, 1.1, 0.3, 1.4},
		{"two owners", false, even(25), twoOwners, 0.95, 1.05, 0.9, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(ctx, t, !test.alone, test.offered)
				first := f.run(fleetWindow)
				settled := f.run(fleetWindow)
				t.Logf("first %.3f, settled %.3f", first, settled)
				if settled < test.least || settled > test.most {
					t.Errorf("settled at %.3f, want from %v to %v", settled, test.least, test.most)
				}
				if test.fault != nil {
					test.fault(f)
					for _, when := range []string{"at the fault", "later"} {
						part := f.run(fleetWindow)
						t.Logf("%s %.3f", when, part)
						if part < test.faultLeast || part > test.faultMost {
							t.Errorf("%s %.3f, want from %v to %v", when, part, test.faultLeast, test.faultMost)
						}
					}
				}
				cancel()
				time.Sleep(2 * callTimeout)
			})
		})
	}
}
