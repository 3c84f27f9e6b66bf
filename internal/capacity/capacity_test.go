package capacity

import (
	"bytes"
	"context"
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/pathcost"
)

func TestFitLine(t *testing.T) {
	tests := []struct {
		name             string
		scale            Scale
		points           []Point
		intercept, slope float64
		residual         float64
	}{
		{"straight", Linear, []Point{{1, 5}, {2, 7}, {4, 11}}, 3, 2, 0},
		{"flat", Linear, []Point{{1, 4}, {9, 4}}, 4, 0, 0},
		{"logarithm", Log2, []Point{{2, 10}, {4, 13}, {16, 19}}, 7, 3, 0},
		{"scattered", Linear, []Point{{0, 0}, {1, 3}, {2, 0}}, 1, 0, math.Sqrt2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			line, err := FitLine(test.scale, test.points)
			if err != nil {
				t.Fatal(err)
			}
			for _, pair := range [][2]float64{{line.Intercept, test.intercept}, {line.Slope, test.slope}, {line.Residual, test.residual}} {
				if math.Abs(pair[0]-pair[1]) > 1e-9 {
					t.Errorf("line %+v, want intercept %g, slope %g, residual %g", line, test.intercept, test.slope, test.residual)
				}
			}
			if at := line.At(8); math.Abs(at-(test.intercept+test.slope*test.scale.of(8))) > 1e-9 {
				t.Errorf("At(8) = %g", at)
			}
		})
	}
}

func TestFitLineNeedsTwoSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 2}}, {{3, 1}, {3, 2}}} {
		if _, err := FitLine(Linear, points); !errors.Is(err, ErrTooFewSizes) {
			t.Errorf("%v: error %v, want ErrTooFewSizes", points, err)
		}
	}
}

func TestQuantity(t *testing.T) {
	tests := []struct {
		value float64
		unit  string
		want  string
	}{
		{0, "B", "0 B"}, {1234, "B/s", "1.23 kB/s"}, {12.5e6, "B", "12.5 MB"},
		{0.0123, "core", "12.3 mcore"}, {-3e-5, "s", "-30 us"}, {1440, "1/s", "1.44e+03 1/s"},
	}
	for _, test := range tests {
		if got := Quantity(test.value, test.unit); got != test.want {
			t.Errorf("Quantity(%g, %q) = %q, want %q", test.value, test.unit, got, test.want)
		}
	}
}

// tiny are the smallest sizes at which each measurement has a line.
func tiny() Options {
	return Options{
		Fleet: Target(), Nodes: []int{2, 4}, Regions: []int{2, 3}, Workspaces: []int{100, 200},
		Replicas: []int{8, 200}, Claims: []int{50, 100}, ClaimRates: []int{20, 40}, Tokens: []int{2, 8},
		Segments: 16, AnswerBytes: []int{0, 200},
		Records: []int{10, 400}, Leases: []int{1, 2}, Contenders: []int{40, 80}, Bytes: []int{64, 4096}, Requests: []int{10, 200}, VMs: []int{10, 200}, Engines: []int{2, 4},
		PathRate: 50, PathInterval: time.Millisecond, Duration: 500 * time.Millisecond,
	}
}

// mayBeZero are quantities in which a tiny run can drown or which are small
// differences of two measurements.
func mayBeZero(s Slope) bool {
	return s.Role == RoleDataPath || s.Unit == "s" || s.Unit == "core" || strings.HasPrefix(s.Quantity, "heap")
}

// TestEachMeasurement runs every step at tiny sizes.
func TestEachMeasurement(t *testing.T) {
	options := tiny()
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			if s.name == leasesStep {
				// Half a second of leases that are renewed every third of one: on a
				// busy machine's clock they may not be renewed in it at all.
				bubbletest.Run(t, func(t *testing.T) { checkStep(t, s.run, options) })
				return
			}
			checkStep(t, s.run, options)
		})
	}
}

// leasesStep is the step that talks to nothing outside the process.
const leasesStep = "leases"

func checkStep(t *testing.T, run func(context.Context, Options) ([]Slope, error), options Options) {
	t.Helper()
	slopes, err := run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	for _, slope := range slopes {
		checkSlope(t, slope)
	}
}

func checkSlope(t *testing.T, s Slope) {
	t.Helper()
	if s.Role == "" || s.Quantity == "" || s.Unit == "" || s.Against == "" || s.Target <= 0 {
		t.Errorf("%+v lacks a name or a target", s)
	}
	if math.IsNaN(s.AtTarget()) || math.IsInf(s.AtTarget(), 0) {
		t.Errorf("%s, %s: %g at the target", s.Role, s.Quantity, s.AtTarget())
	}
	for _, p := range s.Points {
		if p.Value <= 0 && !mayBeZero(s) {
			t.Errorf("%s, %s: %g at %g", s.Role, s.Quantity, p.Value, p.Size)
		}
	}
}

// TestTableAndPlot runs one step by name, and writes the table and the plot.
func TestTableAndPlot(t *testing.T) {
	options := tiny()
	options.Only = []string{"membership"}
	done := 0
	slopes, err := Measure(t.Context(), options, func(string) { done++ })
	if err != nil || done != 1 {
		t.Fatalf("%d steps done, error %v", done, err)
	}
	var table bytes.Buffer
	if err := WriteTable(&table, slopes); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.Count(table.String(), "\n"), len(slopes)+2; got != want {
		t.Errorf("the table has %d lines, want %d:\n%s", got, want, table.String())
	}
	canvas, err := Plot(slopes)
	if err != nil {
		t.Fatal(err)
	}
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil || !strings.Contains(svg.String(), "membership") {
		t.Errorf("plot of %d bytes, error %v", svg.Len(), err)
	}
	if _, err := Plot(nil); !errors.Is(err, errNothingToPlot) {
		t.Errorf("plot of nothing: %v", err)
	}
}

// TestDataPathReportsFailure cuts the context before the load begins.
func TestDataPathReportsFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	load := pathcost.Options{Rate: 10, Duration: 100 * time.Millisecond, Engines: 1}
	if _, err := DataPath(ctx, Target(), []int{1, 2}, load); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
}
