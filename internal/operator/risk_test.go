package operator

import (
	"reflect"
	"testing"

	"galenatrestle/internal/config"
)

func TestRisks(t *testing.T) {
	base := func() *config.Document {
		return &config.Document{
			Workspaces: []config.Workspace{{
				Name: "w", KeySHA256: []string{"a", "b"}, Classes: []string{"c"}, Upstreams: []string{"u"},
			}},
			Classes: []config.Class{{Name: "c"}},
			Upstreams: []config.Upstream{{
				Name: "u", SlotsPerReplica: 8, Replicas: []config.Replica{{Name: "r-1"}, {Name: "r-2"}},
			}},
		}
	}
	cases := []struct {
		name   string
		change func(*config.Document)
		want   []string
	}{
		{"none", func(*config.Document) {}, nil},
		{"added", func(d *config.Document) {
			d.Classes = append(d.Classes, config.Class{Name: "d"})
		}, nil},
		{"replica leaving", func(d *config.Document) { d.Upstreams[0].Replicas[0].Leaving = true }, []string{
			"upstream u: capacity falls from 16 to 8 slots for 1 workspaces",
		}},
		{"all leaving", func(d *config.Document) {
			d.Upstreams[0].Replicas[0].Leaving = true
			d.Upstreams[0].Replicas[1].Leaving = true
		}, []string{"upstream u: no replica takes work: the requests of 1 workspaces are refused"}},
		{"replica removed", func(d *config.Document) { d.Upstreams[0].Replicas = d.Upstreams[0].Replicas[:1] }, []string{
			"upstream u: capacity falls from 16 to 8 slots for 1 workspaces",
			"upstream u: replica r-2 is removed without leaving first: it may have work in flight",
		}},
		{"key removed", func(d *config.Document) { d.Workspaces[0].KeySHA256 = []string{"b"} }, []string{
			"workspace w: 1 of its keys stop working",
		}},
		{"workspace removed", func(d *config.Document) { d.Workspaces = nil }, []string{
			"workspace w: removed: requests that name it are refused",
		}},
		{"fewer upstreams", func(d *config.Document) { d.Workspaces[0].Upstreams = nil }, []string{
			"workspace w: it may use less than before: requests that still ask for it are refused",
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before, after := base(), base()
			c.change(after)
			var got []string
			for _, risk := range risksOf(before, after, config.Diff(before, after)) {
				got = append(got, risk.GetSubject()+": "+risk.GetMessage())
			}
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
