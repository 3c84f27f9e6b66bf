package dev

import (
	"bytes"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"text/template"

	"galenatrestle/internal/config"
)

//go:embed config.yaml
var configTemplate string

// replicaAddress is one stand-in as the configuration names it.
type replicaAddress struct {
	Name    string
	Address string
	Zone    string
}

// documentData fills the configuration's template.
type documentData struct {
	PrairieKey string
	TabKey     string
	Engines    []replicaAddress
	Services   []replicaAddress
}

// document returns the embedded configuration for the given stand-ins.
func document(engines, services []replicaAddress) (*config.Document, error) {
	data := documentData{
		PrairieKey: sum(WorkspaceKey),
		TabKey:     sum(RivalKey),
		Engines:    engines,
		Services:   services,
	}
	parsed, err := template.New("config").Parse(configTemplate)
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	if err := parsed.Execute(&text, data); err != nil {
		return nil, err
	}
	return config.Parse(text.Bytes())
}

// sum returns the lower-case hex SHA-256 of a key.
func sum(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}
