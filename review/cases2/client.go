package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// streamDeadline is how long a caller waits for a whole stream.
	streamDeadline = 15 * time.Second
	// maxGap is the gap between events at which a caller abandons a stream.
	maxGap = 2 * time.Second
	// connectTimeout is how long a caller waits for a connection.
	connectTimeout = time.Second
)

var lastRequest atomic.Int64

// newID returns the ID of a new attempt.
func newID() string { return fmt.Sprintf("%016x", lastRequest.Add(1)) }

// Prompts begin with one of a few instructions and one of many contexts.
const (
	instructions = 20
	contexts     = 551
)

// promptParts returns the parts of the next prompt.
func promptParts() string {
	n := lastRequest.Load()
	return fmt.Sprintf("5c1e%04x:119,91bd%04x:79,%08x:430", n%instructions, n*7%contexts, 1<<24+n)
}

// try is one attempt of a caller.
type try struct {
	id, path, node string
	at             time.Time
	status         int
	stamp          string
	text           string
	// err is how the answer ended; nil: it looked complete.
	err error
}

var errGap = errors.New("no event for too long")

// send makes one attempt on a connection of its own. last and resumes are those of a stream that is
// taken up again.
func send(n *node, path string, deadline time.Time, last int, resumes string) *try {
	return sendAndLeave(n, path, deadline, last, resumes, 0)
}

// sendAndLeave is send for a caller that leaves after a time; zero: it stays.
func sendAndLeave(n *node, path string, deadline time.Time, last int, resumes string, leavesAfter time.Duration) *try {
	t := &try{id: newID(), path: path, node: n.name, at: time.Now()}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.listen+path, strings.NewReader("why does the torque sensor read zero"))
	if err != nil {
		t.err = err
		return t
	}
	request.Host = host
	request.Header.Set(headerID, t.id)
	request.Header.Set(headerKey, apiKey)
	request.Header.Set(headerDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	request.Header.Set("X-Galenatrestle-Model", "m")
	request.Header.Set("X-Galenatrestle-Token-Count", "628,300")
	request.Header.Set("X-Galenatrestle-Prompt-Prefix", promptParts())
	if resumes != "" {
		request.Header.Set(headerResumes, resumes)
		request.Header.Set(headerLast, strconv.Itoa(last))
	}
	transport := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext,
	}
	defer transport.CloseIdleConnections()
	if leavesAfter > 0 {
		leave := time.AfterFunc(leavesAfter, cancel)
		defer leave.Stop()
	}
	// The caller abandons the stream after a gap, also before the first event.
	var abandoned atomic.Bool
	gap := time.AfterFunc(maxGap, func() {
		abandoned.Store(true)
		cancel()
	})
	defer gap.Stop()
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.err = err
		if abandoned.Load() {
			t.err = errGap
		}
		return t
	}
	defer response.Body.Close()
	t.status, t.stamp = response.StatusCode, response.Header.Get(headerStamp)
	var text strings.Builder
	buffer := make([]byte, 4<<10)
	for {
		count, err := response.Body.Read(buffer)
		text.Write(buffer[:count])
		if count > 0 {
			gap.Reset(maxGap)
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			t.err = err
			if abandoned.Load() {
				t.err = errGap
			}
		}
		break
	}
	t.text = text.String()
	return t
}

// String describes the attempt for the record.
func (t *try) String() string {
	ids, _, whole := eventsOf(t.text)
	last := 0
	if len(ids) > 0 {
		last = ids[len(ids)-1]
	}
	return fmt.Sprintf("%s %s sent to %s: status %d, stamp %q, %d events to %d, last piece %t, end of the answer: %v",
		t.id, t.path, t.node, t.status, t.stamp, len(ids), last, whole, t.err)
}
