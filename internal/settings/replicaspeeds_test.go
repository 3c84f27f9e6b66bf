package settings

import (
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/config"
)

// minimalSettings are settings with the section of pass_through, or without it if it is empty.
func minimalSettings(section string) []byte {
	return []byte("name: a\navailability_zone: z\nregion: r\ndata_centre: r\nlisten: \"127.0.0.1:1\"\npeer_listen: \"127.0.0.1:2\"\nops_listen: \"127.0.0.1:3\"\n" +
		"platform: {addresses: [\"127.0.0.1:4\"]}\npass_through:\n  ready_listen: \"127.0.0.1:5\"\n" + section)
}

func TestReplicaSpeedsAreOffWithoutTheirSection(t *testing.T) {
	for section, want := range map[string]*ReplicaSpeeds{
		"":                       nil,
		"  replica_speeds: {}\n": {HalfLife: config.Duration(2 * time.Second)},
		"  replica_speeds: {half_life: 1500ms}\n": {HalfLife: config.Duration(1500 * time.Millisecond)},
	} {
		s, err := Parse(minimalSettings(section))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.PassThrough.ReplicaSpeeds; (got == nil) != (want == nil) || (got != nil && *got != *want) {
			t.Errorf("%q: %+v, want %+v", section, got, want)
		}
	}
}

func TestBadHalfLivesAreNamed(t *testing.T) {
	for _, value := range []string{"10ms", "5m", "-1s"} {
		_, err := Parse(minimalSettings("  replica_speeds: {half_life: " + value + "}\n"))
		if err == nil || !strings.Contains(err.Error(), "replica_speeds.half_life") || !strings.Contains(err.Error(), value) {
			t.Errorf("%s: %v", value, err)
		}
	}
}
