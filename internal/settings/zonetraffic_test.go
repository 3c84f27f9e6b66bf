package settings

import (
	"strings"
	"testing"
)

const zoneTrafficSection = `
  zone_traffic:
    requests_per_gigabyte: 1000
    max_share: 0.5
    forbidden:
      - {from: a, to: b}
      - {from: b, to: a}
`

// Guards against a bad value that is reported without its field, or not at all.
func TestABadZoneTrafficFieldIsNamed(t *testing.T) {
	good := string(minimalSettings(strings.TrimPrefix(zoneTrafficSection, "\n")))
	s, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if got := s.PassThrough.ZoneTraffic; *got.MaxShare != 0.5 || len(got.Forbidden) != 2 {
		t.Errorf("parsed as %+v", *got)
	}
	const section = "pass_through.zone_traffic."
	for _, c := range []struct{ old, new, want string }{
		{"gigabyte: 1000", "gigabyte: -1", section + `requests_per_gigabyte: value "-1"`},
		{"max_share: 0.5", "max_share: 1.5", section + `max_share: value "1.5"`},
		{"{from: a, to: b}", "{from: a, to: a}", section + `forbidden[0].to: value "a": must differ`},
		{"{from: b, to: a}", "{from: a, to: b}", section + `forbidden[1]: value "a to b": is entry 0 already`},
		{"{from: a, to: b}", "{from: a}", section + `forbidden[0].to`},
		{"max_share", "most", section + `most: value`},
	} {
		if _, err := Parse([]byte(strings.Replace(good, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q in it", c.new, err, c.want)
		}
	}
}

func TestMaxShareOfZeroIsNotTheDefault(t *testing.T) {
	zero := 0.0
	given, missing := &ZoneTraffic{MaxShare: &zero}, &ZoneTraffic{}
	given.fillDefaults()
	missing.fillDefaults()
	if *given.MaxShare != 0 || *missing.MaxShare != defaultMaxShare {
		t.Errorf("max_share is %v, and %v if not set", *given.MaxShare, *missing.MaxShare)
	}
}
