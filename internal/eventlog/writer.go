package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the lines that wait; about a second of a full rate.
	bufferBytes = 256 << 10
	// flushEvery gathers lines, so that one system call writes many of them.
	flushEvery = 100 * time.Millisecond
)

// Writer is an io.Writer that never blocks and never fails.
type Writer struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	buffer []byte
	spare  []byte
	wake   chan struct{}
	// flushing is held while the buffer is written out.
	flushing sync.Mutex
}

// NewWriter returns a writer to out. Run writes its lines.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write takes one line, or drops it where the buffer is full.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := len(w.buffer)+len(line) > bufferBytes
	if !full {
		w.buffer = append(w.buffer, line...)
	}
	w.mu.Unlock()
	if full {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped is the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes the lines until stop is closed, then what is left.
func (w *Writer) Run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			w.Flush()
			return
		case <-w.wake:
		}
		timer := time.NewTimer(flushEvery)
		select {
		case <-stop:
		case <-timer.C:
		}
		timer.Stop()
		w.Flush()
	}
}

// Flush writes the lines that wait. It blocks as long as the output does.
func (w *Writer) Flush() {
	w.flushing.Lock()
	defer w.flushing.Unlock()
	w.mu.Lock()
	lines := w.buffer
	w.buffer = w.spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		if _, err := w.out.Write(lines); err != nil {
			// There is nowhere else to tell it: the counter remains.
			w.dropped.Add(1)
		}
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}
