// Package hangup takes SIGHUP from the first moment of a process on. A process that
// has not asked for the signal ends by it, so that one sent to a process that has
// just started, as settings change in a series, would stop it before it serves.
//
// Importing the package is what takes the signal. It holds no state but the
// channel.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds one signal: two that come before the first is handled ask for the
// same.
var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel on which each SIGHUP of the process arrives, also
// one that came before the call.
func Signals() <-chan os.Signal { return signals }
