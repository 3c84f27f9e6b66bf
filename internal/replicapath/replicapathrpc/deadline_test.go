package replicapathrpc

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"
)

// A replica that is silent is noticed through another node too, and goes on.
func TestReadDeadlineEndsReadsAndNotTheConnection(t *testing.T) {
	near, replica := newLink(t).connect(t)
	buffer := make([]byte, 5)
	for _, deadline := range []time.Time{time.Now().Add(10 * time.Millisecond), time.Unix(1, 0)} {
		if err := near.SetReadDeadline(deadline); err != nil {
			t.Fatal(err)
		}
		if _, err := near.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("deadline %s: error %v", deadline, err)
		}
	}
	if err := near.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if _, err := replica.Write([]byte("again")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(near, buffer); err != nil || string(buffer) != "again" {
		t.Errorf("read %q, %v", buffer, err)
	}
}

// Guards against a read that is not interrupted because the deadline is set by another goroutine.
func TestDeadlineThatIsSetMeanwhileInterruptsARead(t *testing.T) {
	near, _ := newLink(t).connect(t)
	read := make(chan error)
	go func() {
		_, err := near.Read(make([]byte, 1))
		read <- err
	}()
	if err := near.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if err := <-read; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v", err)
	}
}
