package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Level says how an event is treated when there are many.
type Level int

// The levels.
const (
	// Routine events are of requests that went well.
	Routine Level = iota
	// Notable events are failures and changes of what the process believes.
	Notable
)

const (
	// maxLines is the rate past which nothing is written, in lines a second:
	// about 100 kB/s.
	maxLines = 400
	// maxRoutineLines is the rate past which routine events are left out.
	maxRoutineLines = 200
)

// Fields are an event's inputs and outcome by name.
type Fields = logrus.Fields

// Event is one line.
type Event interface {
	// Name is the event's fixed name.
	Name() string
	// Level says how it is treated when there are many.
	Level() Level
	// Fields are what it tells.
	Fields() Fields
}

// Log writes events. It is safe for concurrent use.
type Log struct {
	writer *Writer
	logger *logrus.Entry

	mu      sync.Mutex
	second  int64
	lines   int
	skipped int64
}

// New returns a log that writes to out through a Writer of its own, with the
// node's name in each line.
func New(out io.Writer, node string) *Log {
	writer := NewWriter(out)
	logger := logrus.New()
	logger.SetOutput(writer)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Log{writer: writer, logger: logger.WithField("node", node)}
}

// Run writes the lines until stop is closed.
func (l *Log) Run(stop <-chan struct{}) { l.writer.Run(stop) }

// Flush writes the lines that wait.
func (l *Log) Flush() { l.writer.Flush() }

// Write writes the event, unless there are too many.
func (l *Log) Write(e Event) {
	if l.admit(time.Now(), e.Level()) {
		l.write(e)
	}
}

func (l *Log) write(e Event) {
	entry := l.logger.WithFields(e.Fields())
	if e.Level() == Notable {
		entry.Warn(e.Name())
		return
	}
	entry.Info(e.Name())
}

// Error writes an error that no caller is told, with the step at which it arose.
func (l *Log) Error(step string, err error) {
	l.Write(&failed{step: step, err: err})
}

// Lost is the number of lines left out or dropped so far.
func (l *Log) Lost() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.skipped + l.writer.Dropped()
}

func (l *Log) admit(now time.Time, level Level) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second = second
		l.lines = 0
	}
	limit := maxLines
	if level == Routine {
		limit = maxRoutineLines
	}
	if l.lines >= limit {
		l.skipped++
		return false
	}
	l.lines++
	return true
}
