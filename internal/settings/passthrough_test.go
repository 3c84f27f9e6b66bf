package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/config"
)

// platformValues are what the platform fills the deployment's template with.
const platformValues = `{
 "nodeName":"edge-1","zone":"hall-a","region":"west","ip":"10.1.0.19","internalPorts":[7200,7215],
 "seeds":["10.1.0.19:8748","10.2.0.13:8748"],
 "listen":{"frontend":"10.1.0.19:8740","ready":"10.1.0.19:8749","control":"10.1.0.19:8748","directory":"10.1.0.19:8746"},
 "limits":{"memoryMb":284},"platform":{"address":"10.200.1.7:8742"},
 "bounds":{"graceS":8,"configApplyMs":2000,"revokeMs":5000,"retryBudgetRatio":0.2,"retryWindowS":10,"retryBudgetSlack":54,"leaseMs":3000,"windowS":5,"usageDelayS":10},
 "cloud":{"address":"10.200.0.70:8181","duties":["metering","autoscale"]}}`

var (
	section     = regexp.MustCompile(`\{\{#([a-zA-Z.]+)\}\}\n`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)
)

// render fills the template as the platform does, as far as ours needs it.
func render(t *testing.T, template string, values map[string]any) string {
	t.Helper()
	template = sections(t, template, values)
	return placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value := look(values, parts[1])
		if parts[2] != "" {
			encoded, err := json.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
}

// sections leaves out the sections whose value is missing; they may hold others.
func sections(t *testing.T, template string, values map[string]any) string {
	t.Helper()
	at := section.FindStringSubmatchIndex(template)
	if at == nil {
		return template
	}
	name := template[at[2]:at[3]]
	inside, after, ended := strings.Cut(template[at[1]:], "{{/"+name+"}}\n")
	if !ended {
		t.Fatalf("section %s has no end", name)
	}
	if look(values, name) == nil {
		inside = ""
	}
	return template[:at[0]] + sections(t, inside, values) + sections(t, after, values)
}

// look returns the value at the path, nil where there is none.
func look(values any, path string) any {
	for name := range strings.SplitSeq(path, ".") {
		switch v := values.(type) {
		case map[string]any:
			values = v[name]
		case []any:
			var index int
			if _, err := fmt.Sscan(name, &index); err != nil || index >= len(v) {
				return nil
			}
			values = v[index]
		default:
			return nil
		}
	}
	return values
}

func deployTemplate(t *testing.T) (string, map[string]any) {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var values map[string]any
	if err := json.Unmarshal([]byte(platformValues), &values); err != nil {
		t.Fatal(err)
	}
	return string(template), values
}

func TestTheDeploymentsTemplateGivesUsableSettings(t *testing.T) {
	template, values := deployTemplate(t)
	s, err := Parse([]byte(render(t, template, values)))
	if err != nil {
		t.Fatal(err)
	}
	minShare, onTimeFraction := 1.0, 0.6
	want := PassThrough{
		ReadyListen: "10.1.0.19:8749", ResolveListen: "10.1.0.19:8746", RevokeAfter: config.Duration(5 * time.Second),
		ApplyWithin: config.Duration(2 * time.Second), LeaveWithin: config.Duration(2 * time.Second), Grace: config.Duration(8 * time.Second), ResolveTTL: config.Duration(2 * time.Second), MemoryMB: 284,
		Retries: RetryBudget{Ratio: 0.2, Window: config.Duration(10 * time.Second), Allowance: 54},
		Duties: &Duties{
			Address: "10.200.0.70:8181", Kinds: []DutyKind{Metering, Autoscale}, Lease: config.Duration(3 * time.Second),
			UsageWindow: config.Duration(5 * time.Second), UsageDelay: config.Duration(10 * time.Second),
		},
		ObjectivePlacement: &ObjectivePlacement{MissCost: config.Duration(3 * time.Second)},
		ObjectivePriority:  &ObjectivePriority{OnTimeFraction: &onTimeFraction},
		ReplicaSpeeds:      &ReplicaSpeeds{HalfLife: config.Duration(2 * time.Second)},
		FairAdmission:      &FairAdmission{Window: config.Duration(2 * time.Second), MinShare: &minShare},
		ServiceAdmission:   &ServiceAdmission{ShortQueue: 2},
	}
	if !reflect.DeepEqual(*s.PassThrough, want) {
		t.Errorf("%+v, want %+v", *s.PassThrough, want)
	}
	if s.Listen != "10.1.0.19:8740" || s.Advertise.Peer != "10.1.0.19:8748" || len(s.Peers.Seeds) != 2 {
		t.Errorf("listen %s, peer %s, seeds %v", s.Listen, s.Advertise.Peer, s.Peers.Seeds)
	}
}

func TestBoundsThatADeploymentDoesNotSetTakeTheirDefaults(t *testing.T) {
	template, values := deployTemplate(t)
	values["bounds"] = map[string]any{}
	values["cloud"] = map[string]any{}
	s, err := Parse([]byte(render(t, template, values)))
	if err != nil {
		t.Fatal(err)
	}
	p := s.PassThrough
	if p.RevokeAfter != 0 || p.ApplyWithin != defaultApplyWithin || p.Grace != defaultGrace || p.Retries.Window != defaultRetryWindow || p.Duties != nil {
		t.Errorf("%+v", *p)
	}
}

func TestABadPassThroughFieldIsNamed(t *testing.T) {
	template, values := deployTemplate(t)
	good := render(t, template, values)
	for _, c := range []struct{ old, new, want string }{
		{`ready_listen: "10.1.0.19:8749"`, `ready_listen: "here"`, `pass_through.ready_listen: value "here"`},
		{`address: "10.200.0.70:8181"`, `address: "cloud"`, `pass_through.duties.address: value "cloud"`},
		{"lease: 3000ms", "lease: 3ms", `pass_through.duties.lease: value "3ms": must be at least 1s`},
		{"usage_window: 5s", "usage_window: -5s", `pass_through.duties.usage_window: value "-5s"`},
		{"grace: 8s", "grace: -8s", `pass_through.grace: value "-8s"`},
		{"grace: 8s", "grace: soon", "grace"},
		{"ratio: 0.2", "ratio: 20", `pass_through.retry_budget.ratio: value "20"`},
		{"window: 10s", "window: 1ns", `pass_through.retry_budget.window: value "1ns": must be at least 1s`},
		{"grace: 8s", "grace: 20ms", `pass_through.grace: value "20ms": must be at least 1s`},
		{"miss_cost: 3s", "miss_cost: -3s", `pass_through.objective_placement.miss_cost: value "-3s"`},
		{"miss_cost: 3s", "miss_cost: 3ms", `pass_through.objective_placement.miss_cost: value "3ms": must be from 100ms to 1m0s`},
		{"miss_cost: 3s", "miss_cost: 2m", `pass_through.objective_placement.miss_cost: value "2m`},
		{"on_time_fraction: 0.6", "on_time_fraction: 0", `pass_through.objective_priority.on_time_fraction: value "0": must be above 0 and at most 1`},
		{"on_time_fraction: 0.6", "on_time_fraction: 1.5", `pass_through.objective_priority.on_time_fraction: value "1.5"`},
		{"miss_cost", "mis_cost", `pass_through.objective_placement.mis_cost`},
		{"memory_mb", "memory", `pass_through.memory: value "memory"`},
	} {
		if _, err := Parse([]byte(strings.Replace(good, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q in it", c.new, err, c.want)
		}
	}
}
