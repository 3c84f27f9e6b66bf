package edge

import (
	"testing"

	"galenatrestle/internal/settings"
)

// Guards against sections of the settings that have no effect, and against a node that has the parts without
// their sections.
func TestSectionsTurnOnReturnsAndServiceAdmission(t *testing.T) {
	d := newDeployment(t)
	options := d.nodes[0].options
	for _, on := range []bool{false, true} {
		s, p := *options.Settings, *options.Settings.PassThrough
		if on {
			p.ReturnSchedule, p.ServiceAdmission = &settings.ReturnSchedule{}, &settings.ServiceAdmission{ShortQueue: 1}
		}
		s.PassThrough = &p
		options.Settings = &s
		n, err := New(options)
		if err != nil {
			t.Fatal(err)
		}
		for _, server := range n.servers {
			_ = server.listener.Close()
		}
		families, err := n.registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		known := false
		for _, f := range families {
			known = known || f.GetName() == "trestle_returns_known"
		}
		if known != on || (n.returnTable() != nil) != on {
			t.Errorf("sections %t: returns %t, registered %t", on, n.returnTable() != nil, known)
		}
	}
}
