package config

import (
	"github.com/goccy/go-yaml"

	"galenatrestle/internal/yamldoc"
)

// Parse reads a YAML document strictly, checks it, and fills the defaults.
// The error is a *yamldoc.InvalidError that names line, field and value of
// each problem.
func Parse(data []byte) (*Document, error) {
	document := &Document{}
	source, err := yamldoc.Read(data, document)
	if err != nil {
		return nil, err
	}
	source.CheckTags(document)
	checkReferences(source, document)
	if err := source.Err(); err != nil {
		return nil, err
	}
	document.fillDefaults()
	return document, nil
}

// Encode returns the document as YAML that Parse takes.
func Encode(document *Document) ([]byte, error) {
	return yaml.Marshal(document)
}
