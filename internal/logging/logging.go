package logging

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// The log's formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// New returns a logger of the format ("text" or "json") and level ("debug",
// "info", "warning", "error") that writes to w.
func New(w io.Writer, format, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: value %q: %w", level, err)
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(parsed)
	switch format {
	case FormatJSON:
		log.SetFormatter(&logrus.JSONFormatter{})
	case FormatText:
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	default:
		return nil, fmt.Errorf("log format: value %q is neither %s nor %s", format, FormatText, FormatJSON)
	}
	return log, nil
}
