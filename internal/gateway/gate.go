package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/refusal"
)

// headerRelayed marks a request that another data centre has handed on: it is
// not handed on again.
const headerRelayed = "Trestle-Relayed"

const (
	stepGate = "gate"
	// movedRetryAfter is when a request that met a move is worth another try.
	movedRetryAfter = time.Second
	// relayPause is how long a relay that was not run waits before the next.
	relayPause = 20 * time.Millisecond
	// relayChunk is how much of a relayed answer is passed on at a time.
	relayChunk = 16 << 10
)

// Gate says whether this data centre may start work of a request.
type Gate interface {
	// Await waits, while the upstream is between two data centres, until work
	// may start here, or returns where to relay to. Where neither relayTo nor
	// err is set the work counts as in flight here until done is called.
	// A relayed request is never relayed again.
	Await(ctx context.Context, upstream, workspace string, relayed bool) (relayTo string, done func(), err error)
}

// openGate lets everything start.
type openGate struct{}

// Await implements Gate.
func (openGate) Await(context.Context, string, string, bool) (string, func(), error) {
	return "", func() {}, nil
}

// startWork is called directly before a request is handed to a replica; done
// must be called when the attempt has ended.
func (s *Server) startWork(ctx context.Context, c *call, upstream string) (done func(), err error) {
	relayTo, done, err := s.options.Gate.Await(ctx, upstream, c.workspace.Name, false)
	if err != nil {
		return nil, err
	}
	if relayTo != "" {
		return nil, moved("the upstream has just moved to another data centre; ask again")
	}
	return done, nil
}

func moved(message string) *refusal.Error {
	refused := refusal.New(refusal.Moving, stepGate, message)
	refused.RetryAfter = movedRetryAfter
	return refused
}

// hasMoved says that the upstream moved to another data centre while the
// request waited for a replica here, and that nothing of it has run.
func hasMoved(refused *refusal.Error) bool {
	return refused.Reason == refusal.Moving && refused.Step == stepGate && refused.Outcome == refusal.NotRun
}

// elsewhere answers a request whose upstream another data centre serves, or
// that may not start here; it returns false for one to be served here.
func (s *Server) elsewhere(w http.ResponseWriter, r *http.Request, c *call, upstream string, body []byte) bool {
	ctx, cancel := context.WithDeadline(r.Context(), c.giveUpAt)
	defer cancel()
	relayed := r.Header.Get(headerRelayed) != ""
	for {
		relayTo, done, err := s.options.Gate.Await(ctx, upstream, c.workspace.Name, relayed)
		if err != nil {
			s.refuseCall(w, c, err)
			return true
		}
		if relayTo == "" {
			done()
			return false
		}
		refused := s.relayTo(ctx, w, r, relayTo, body)
		if refused == nil {
			s.endRelayed(c, relayTo)
			return true
		}
		if refused.Outcome != refusal.NotRun || ctxtime.Sleep(ctx, relayPause) != nil {
			s.refuseCall(w, c, refused)
			return true
		}
	}
}

// relayTo hands the request to the address and passes the answer on. It
// returns a refusal only where nothing was passed on; one that says NotRun may
// be tried again.
func (s *Server) relayTo(ctx context.Context, w http.ResponseWriter, r *http.Request, address string, body []byte) *refusal.Error {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return relayRefusal(err, address)
	}
	// Without GetBody the client can't send the request twice by itself.
	request.GetBody = nil
	request.Header = r.Header.Clone()
	request.Header.Set(headerRelayed, s.options.Node)
	response, err := s.options.Relay.Do(request)
	if err != nil {
		return relayRefusal(err, address)
	}
	defer response.Body.Close()
	if movedOn(response.Header) {
		refused := moved("the upstream is between two data centres; ask again")
		refused.Peer = address
		return refused
	}
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	w.WriteHeader(response.StatusCode)
	if copyFlushed(w, response.Body) != nil {
		// Part of the answer is out: a clean end would make it look whole.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// movedOn says that the other data centre did not run the request because it
// does not serve the upstream, or not yet.
func movedOn(header http.Header) bool {
	return header.Get(headerReason) == string(refusal.Moving) && header.Get(headerOutcome) == string(refusal.NotRun)
}

// copyFlushed passes each piece on as it comes.
func copyFlushed(w http.ResponseWriter, from io.Reader) error {
	flusher := http.NewResponseController(w)
	buffer := make([]byte, relayChunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			giveTime(w, n)
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			_ = flusher.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// relayRefusal says NotRun only where no connection was made.
func relayRefusal(err error, address string) *refusal.Error {
	refused := &refusal.Error{
		Reason: refusal.Moving, Outcome: refusal.Unknown, Step: "relay", Peer: address,
		Message: "the data centre that serves the upstream gave no answer", RetryAfter: movedRetryAfter, Cause: err,
	}
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		refused.Outcome = refusal.NotRun
	}
	return refused
}
