package trestlectl

import (
	"fmt"
	"io"
	"os"
	"time"

	"galenatrestle/internal/logtrace"
)

type traceCommand struct {
	RequestID string        `arg:"" name:"request-id" help:"The request's id as the caller sent or was told it."`
	Files     []string      `arg:"" name:"file" optional:"" type:"existingfile" help:"Logs of the nodes. Default: standard input."`
	Around    time.Duration `help:"How long before and after the request the process's own events are shown." default:"2s"`
}

// Run prints one event a line, with the time since the first.
func (c *traceCommand) Run(console *console) error {
	trace := logtrace.New(c.RequestID, c.Around)
	if err := c.read(trace); err != nil {
		return err
	}
	lines := trace.Lines()
	if len(lines) == 0 {
		return fmt.Errorf("no log has a line of request %q: it may have been left out under load (trestle_log_lines_lost_total) or have come to another node", c.RequestID)
	}
	table := console.table("SINCE", "NODE", "EVENT", "DETAILS")
	for i := range lines {
		l := &lines[i]
		event := l.Event
		if l.Request == "" {
			event = "(" + event + ")"
		}
		table.row(l.At.Sub(lines[0].At).Round(time.Millisecond/10), l.Node, event, l.Details())
	}
	table.flush()
	return nil
}

func (c *traceCommand) read(trace *logtrace.Trace) error {
	if len(c.Files) == 0 {
		return trace.Read(os.Stdin)
	}
	for _, name := range c.Files {
		if err := readFile(trace, name); err != nil {
			return err
		}
	}
	return nil
}

func readFile(trace *logtrace.Trace, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := trace.Read(io.Reader(file)); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
