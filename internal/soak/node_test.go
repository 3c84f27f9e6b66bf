package soak

import (
	"syscall"
	"testing"
)

// A paused process in the soak's own process group would take the soak along when the
// shell that began it ends.
func TestEachProcessHasAProcessGroupOfItsOwn(t *testing.T) {
	n := &node{name: "vm-1", dir: t.TempDir(), command: []string{"sh", "-c", "sleep 60"}}
	if err := n.start(); err != nil {
		t.Fatal(err)
	}
	defer func() { <-n.signal(syscall.SIGKILL, true) }()
	group, err := syscall.Getpgid(n.process.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	if own := syscall.Getpgrp(); group == own {
		t.Errorf("the process is in group %d, that of the soak", own)
	}
}
