package settings

import (
	_ "embed"
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"galenatrestle/internal/yamldoc"
)

//go:embed testdata/valid.yaml
var validYAML string

func TestLoadFillsDefaultsAndPaths(t *testing.T) {
	settings, err := Load(filepath.Join("testdata", "valid.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	if got := settings.Advertise; got != (Advertise{Entry: "10.1.0.1:8080", Peer: "127.0.0.1:8090"}) {
		t.Errorf("advertise: %+v", got)
	}
	if got := settings.Log; got != (Log{Format: LogJSON, Level: "info"}) {
		t.Errorf("log: %+v", got)
	}
	if got, want := settings.TLS.KeyFile, filepath.Join("testdata", "keys", "vm-1-key.pem"); got != want {
		t.Errorf("key file: got %s, want %s", got, want)
	}
	if !settings.TLS.Enabled() {
		t.Error("TLS is off")
	}
}

func TestParseNamesLineFieldAndValue(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{"listen: 127.0.0.1:8080", "listen: here", `line 5: listen: value "here": must be host:port`},
		{"name: vm-1\n", "", `line 1: name: value "": is required`},
		{"  key_file: keys/vm-1-key.pem\n", "", `line 14: tls.key_file: value ""`},
		{"format: json", "format: xml", `line 22: log.format: value "xml": must be one of: text, json`},
		{"seeds: [", "sedes: [", `line 13: peers.sedes: value "sedes": unknown field`},
		{"log:\n", "  - name: bela\n    key_sha256: AEFD9B1E9EE0F7B12D13D6B4A6C6BD6F7E6E6C31D0A5E1A0B9E0B6A3C1D2E3F4\nlog:\n",
			`line 22: operators[1].key_sha256: value "AEFD9B1E9EE0F7B12D13D6B4A6C6BD6F7E6E6C31D0A5E1A0B9E0B6A3C1D2E3F4": operator erzsi has this key already`},
	}
	for _, c := range cases {
		t.Run(c.new, func(t *testing.T) {
			if !strings.Contains(validYAML, c.old) {
				t.Fatalf("the valid settings have no %q", c.old)
			}
			_, err := Parse([]byte(strings.Replace(validYAML, c.old, c.new, 1)))
			var invalid *yamldoc.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got %v", err)
			}
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %q, want %q in it", err, c.want)
			}
		})
	}
}

func TestLoadNamesStepAndFile(t *testing.T) {
	_, err := Load(filepath.Join("testdata", "absent.yaml"))
	if err == nil || !strings.Contains(err.Error(), "absent.yaml") {
		t.Errorf("got %v", err)
	}
}

// FuzzParse proves that no settings crash the parser.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validYAML))
	f.Add([]byte("name: [1]\nlog: x\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse(data)
		var invalid *yamldoc.InvalidError
		if err != nil && !errors.As(err, &invalid) {
			t.Fatalf("error of type %T: %v", err, err)
		}
	})
}
