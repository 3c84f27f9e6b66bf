package settings

import (
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/config"
)

func TestClaimsDefaults(t *testing.T) {
	settings, err := Parse([]byte(validYAML))
	if err != nil {
		t.Fatal(err)
	}
	want := Claims{
		KeyRetention: config.Duration(24 * time.Hour), AnswerRetention: config.Duration(10 * time.Minute),
		Shards: 4, SegmentBytes: 16384, MaxBytes: 32 << 20,
	}
	if settings.Claims != want || settings.Claims.Segments() != 512 {
		t.Errorf("got %+v, %d segments", settings.Claims, settings.Claims.Segments())
	}
}

func TestClaimsBounds(t *testing.T) {
	cases := []struct{ claims, want string }{
		{"{shards: 64, max_bytes: 134217728, key_retention: 168h}", ""},
		{"{key_retention: 59m}", `claims.key_retention: value "59m0s": must be between 1h and 168h`},
		{"{key_retention: 169h}", `claims.key_retention`},
		{"{key_retention: -24h}", `claims.key_retention`},
		{"{answer_retention: 59s}", `claims.answer_retention: value "59s"`},
		{"{answer_retention: 2h, key_retention: 1h}", `claims.answer_retention`},
		{"{shards: 257}", `claims.shards`},
		{"{shards: -1}", `claims.shards`},
		{"{segment_bytes: 4095}", `claims.segment_bytes`},
		{"{segment_bytes: 262145}", `claims.segment_bytes`},
		{"{max_bytes: 1073741825}", `claims.max_bytes`},
		{"{shards: 256, max_bytes: 33554432}", ""},
		{"{shards: 256, max_bytes: 33550336}", `claims.max_bytes: value "33550336"`},
		{"{shards: 1, segment_bytes: 4096, max_bytes: 33558528}", `makes 8193 segments in each of 1 shards`},
	}
	for _, c := range cases {
		_, err := Parse([]byte(validYAML + "claims: " + c.claims + "\n"))
		if c.want == "" && err != nil {
			t.Errorf("%s: got %v", c.claims, err)
		}
		if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: got %v, want %q in it", c.claims, err, c.want)
		}
	}
}
