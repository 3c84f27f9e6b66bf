package replicapath

import (
	"fmt"
	"testing"
	"time"
)

func TestPathIsCheckedAfterFailuresAtDistinctReplicas(t *testing.T) {
	now := time.Now()
	var m monitor
	for range 5 {
		if m.connectFailed(now, "a") {
			t.Fatal("a single replica that is down leads to a check")
		}
	}
	m.connected()
	if m.connectFailed(now, "b") {
		t.Fatal("failures before a success count")
	}
	if !m.connectFailed(now, "c") {
		t.Fatal("no check after failures at two replicas in a row")
	}
	m.checked(now, true)
	m.connectFailed(now, "a")
	if m.connectFailed(now.Add(minFailureCheckPause-1), "b") {
		t.Error("checked again right after a check that succeeded")
	}
	if !m.connectFailed(now.Add(minFailureCheckPause), "b") {
		t.Error("not checked again after the pause")
	}
}

func TestSilenceIsCheckedAtMostOnceASecond(t *testing.T) {
	now := time.Now()
	var m monitor
	if m.isSilent(now, maxSilence-1) || !m.isSilent(now, maxSilence) {
		t.Error("silence is not checked from maxSilence on")
	}
	m.checked(now, true)
	if m.isSilent(now.Add(minSilenceCheckPause-1), maxSilence) || !m.isSilent(now.Add(minSilenceCheckPause), maxSilence) {
		t.Error("silence is not checked again after the pause")
	}
}

func TestPathIsLostUntilACheckSucceeds(t *testing.T) {
	now := time.Now()
	var m monitor
	if changed := m.checked(now, false); !changed || !m.isLost() {
		t.Fatal("the path is not lost after a failed check")
	}
	if m.checked(now.Add(time.Second), false) || !m.lostAt.Equal(now) {
		t.Error("a further failed check counts as a new loss")
	}
	if changed := m.checked(now, true); !changed || m.isLost() {
		t.Error("the path is lost after a check that succeeded")
	}
}

func TestFailedAddressesAreBounded(t *testing.T) {
	var m monitor
	for i := range 10 * maxFailedReplicas {
		m.connectFailed(time.Now(), fmt.Sprint(i))
	}
	if n := len(m.failedAddresses()); n != maxFailedReplicas {
		t.Errorf("%d addresses kept, want %d", n, maxFailedReplicas)
	}
}
