package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
)

type event struct {
	name  string
	level Level
}

func (e event) Name() string   { return e.name }
func (e event) Level() Level   { return e.level }
func (e event) Fields() Fields { return Fields{"request": "c1"} }

func TestEachEventIsOneJSONLine(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "vm-1")
	l.Write(event{"call_ended", Routine})
	l.Error("decode", errors.New("bad"))
	l.Flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines: %s", len(lines), out.String())
	}
	for i, want := range []map[string]string{
		{"msg": "call_ended", "node": "vm-1", "request": "c1", "level": "info"},
		{"msg": "step_failed", "step": "decode", "error": "bad", "level": "warning"},
	} {
		var got map[string]any
		if err := json.Unmarshal([]byte(lines[i]), &got); err != nil {
			t.Fatal(err)
		}
		for field, value := range want {
			if got[field] != value {
				t.Errorf("line %d: field %s is %v, want %s", i, field, got[field], value)
			}
		}
	}
}

// TestAFullPipeBlocksNobody writes far more than fits to an output that nobody
// reads.
func TestAFullPipeBlocksNobody(t *testing.T) {
	reader, writer := io.Pipe()
	w := NewWriter(writer)
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { w.Run(stop) })
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 4 * bufferBytes / len(line) {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write = %d, %v", n, err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped, though nobody reads")
	}
	close(stop)
	go io.Copy(io.Discard, reader)
	running.Wait()
}

func TestRoutineLinesAreLeftOutFirst(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New(&out, "vm-1")
		for range 1000 {
			l.Write(event{"routine", Routine})
		}
		for range 1000 {
			l.Write(event{"notable", Notable})
		}
		l.Flush()
		routine, notable := strings.Count(out.String(), `"routine"`), strings.Count(out.String(), `"notable"`)
		if routine != maxRoutineLines || routine+notable != maxLines || l.Lost() != int64(2000-maxLines) {
			t.Errorf("%d routine and %d notable lines, %d lost", routine, notable, l.Lost())
		}
		time.Sleep(time.Second)
		l.Write(event{"later", Routine})
		l.Flush()
		if !strings.Contains(out.String(), `"later"`) {
			t.Error("nothing is written in the next second")
		}
	})
}
