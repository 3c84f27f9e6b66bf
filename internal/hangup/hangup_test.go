package hangup

import (
	"syscall"
	"testing"
)

// TestASignalBeforeAnybodyAsksIsKept would end the test's process if the signal
// were not taken at its start.
func TestASignalBeforeAnybodyAsksIsKept(t *testing.T) {
	for range 2 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	<-Signals()
}
