package daemon

import (
	"io"

	"galenatrestle/internal/replicaconn"
)

// Options are what a process is started with.
type Options struct {
	SettingsPath   string
	Stdout, Stderr io.Writer
	// DialReplica opens connections to the replicas of pass-through routes; nil: TCP.
	DialReplica replicaconn.Dial
}
