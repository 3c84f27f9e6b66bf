package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/yamldoc"
)

// defaultLogLevel is the lowest level written where the settings say none.
const defaultLogLevel = "info"

// Load reads the settings file at path, checks it, and fills the defaults.
// Paths of key files come back relative to the settings file's directory.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(errs.Settings, err, "read settings", path)
	}
	settings, err := Parse(data)
	if err != nil {
		return nil, errs.Wrap(errs.Settings, err, "check settings", path)
	}
	settings.TLS.resolve(filepath.Dir(path))
	return settings, nil
}

// Parse reads YAML settings strictly, checks them, and fills the defaults.
// The error is a *yamldoc.InvalidError.
func Parse(data []byte) (*Settings, error) {
	settings := &Settings{}
	source, err := yamldoc.Read(data, settings)
	if err != nil {
		return nil, err
	}
	source.CheckTags(settings)
	checkKeys(source, settings.Operators)
	checkClaims(source, settings.Claims)
	checkPassThrough(source, settings.PassThrough)
	if err := source.Err(); err != nil {
		return nil, err
	}
	settings.fillDefaults()
	return settings, nil
}

// checkKeys notes keys that two operators share: the key tells who acts.
func checkKeys(source *yamldoc.Source, operators []Operator) {
	owners := make(map[string]string, len(operators))
	for i, operator := range operators {
		sum := strings.ToLower(operator.KeySHA256)
		owner, taken := owners[sum]
		if taken {
			field := fmt.Sprintf("operators[%d].key_sha256", i)
			source.Add(field, operator.KeySHA256, fmt.Sprintf("operator %s has this key already", owner))
		}
		owners[sum] = operator.Name
	}
}

func (s *Settings) fillDefaults() {
	s.Claims.fillDefaults()
	s.PassThrough.fillDefaults()
	if s.Advertise.Entry == "" {
		s.Advertise.Entry = s.Listen
	}
	if s.Advertise.Peer == "" {
		s.Advertise.Peer = s.PeerListen
	}
	if s.Log.Format == "" {
		s.Log.Format = LogText
	}
	if s.Log.Level == "" {
		s.Log.Level = defaultLogLevel
	}
}

func (t *TLS) resolve(dir string) {
	for _, file := range []*string{&t.CertificateFile, &t.KeyFile, &t.AuthorityFile} {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(dir, *file)
		}
	}
}
