package embedded

import (
	"bytes"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"io"
	"text/template"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
)

// Keys of the default configuration.
const (
	// PrairieKey is the key of workspace prairie-spoke.
	PrairieKey = "dev-key-prairie-spoke"
	// TabKey is the key of workspace tabkassza.
	TabKey = "dev-key-tabkassza"
	// OperatorName and OperatorKey are those of the one operator.
	OperatorName = "operator"
	OperatorKey  = "dev-key-operator"
)

//go:embed config.yaml
var defaultConfig string

// ConfigData fills a configuration's template. Its method KeySum gives the
// SHA-256 of a workspace's key.
type ConfigData struct {
	Engines  []config.Replica
	Services []config.Replica
}

// KeySum returns the lower-case hex SHA-256 of a key.
func (ConfigData) KeySum(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// render returns the configuration's text for the given stand-ins.
func render(text string, data ConfigData) ([]byte, error) {
	parsed, err := template.New("config").Parse(text)
	if err != nil {
		return nil, err
	}
	var rendered bytes.Buffer
	if err := parsed.Execute(&rendered, data); err != nil {
		return nil, err
	}
	return rendered.Bytes(), nil
}

// setQuotas replaces the quotas of the named workspaces.
func setQuotas(document *config.Document, quotas map[string]config.Quota) {
	for i := range document.Workspaces {
		w := &document.Workspaces[i]
		if quota, ok := quotas[w.Name]; ok {
			w.Quota = quota
		}
	}
}

func silentLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
