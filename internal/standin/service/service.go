package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"galenatrestle/internal/openai"
	"galenatrestle/internal/standin"
	"galenatrestle/internal/standin/fault"
	"galenatrestle/internal/standin/reply"
	"galenatrestle/internal/standin/runs"
)

// maxBodyBytes bounds the bodies a service reads.
const maxBodyBytes = 16 << 20

// Service is one replica. It implements http.Handler and standin.Standin.
type Service struct {
	opts   Options
	faults *fault.Set
	runs   *runs.List

	mu sync.Mutex
	// downUntil is when a crashed service is back.
	downUntil time.Time
	// crashed is closed, and replaced, when the service crashes.
	crashed chan struct{}
}

var _ standin.Standin = (*Service)(nil)

// New returns a service that is ready to serve. It needs no closing.
func New(opts Options) *Service {
	if opts.RestartTime == 0 {
		opts.RestartTime = defaultRestartTime
	}
	return &Service{
		opts:    opts,
		faults:  fault.NewSet(fault.UpstreamKinds()...),
		runs:    runs.NewList(runs.DefaultBound),
		crashed: make(chan struct{}),
	}
}

// Faults implements standin.Standin.
func (s *Service) Faults() *fault.Set { return s.faults }

// Runs implements standin.Standin.
func (s *Service) Runs() *runs.List { return s.runs }

// ServeHTTP runs any call and answers with an Echo.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	crashed, down := s.life()
	if down {
		panic(http.ErrAbortHandler)
	}
	if s.refuses(w) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	sequence := s.runs.Begin(runs.Run{
		RequestID:      r.Header.Get(openai.HeaderRequestID),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method:         r.Method,
		Path:           r.URL.Path,
	})
	end := s.work(string(body), crashed)
	s.runs.End(sequence, end)
	if !s.answers(r.Context(), end) {
		panic(http.ErrAbortHandler)
	}
	s.echo(w, r, sequence, body)
}

// work does the run: it takes the latency, and ends early where the service
// crashes. A caller that is gone does not undo a run.
func (s *Service) work(body string, crashed <-chan struct{}) runs.End {
	timer := time.NewTimer(s.latency())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-crashed:
		return runs.End{Crashed: true}
	}
	if s.crashes(body) {
		// The work was done; only the answer is lost.
		s.crash()
	}
	return runs.End{Completed: true}
}

// answers says whether the caller gets to hear of the run.
func (s *Service) answers(ctx context.Context, end runs.End) bool {
	if !end.Completed {
		return false
	}
	if _, down := s.life(); down {
		return false
	}
	return s.faults.Wait(fault.Hang, ctx.Done())
}

func (s *Service) echo(w http.ResponseWriter, r *http.Request, sequence int64, body []byte) {
	echo := Echo{
		Service:        s.opts.Name,
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Run:            sequence,
	}
	if json.Valid(body) {
		echo.Body = body
	}
	reply.JSON(w, http.StatusOK, echo)
}

// refuses answers for a service that takes nothing new; it then returns true.
func (s *Service) refuses(w http.ResponseWriter) bool {
	if _, on := s.faults.Get(fault.Leaving); on {
		reply.Error(w, http.StatusServiceUnavailable, openai.CodeLeaving, "the service is leaving")
		return true
	}
	if _, on := s.faults.Get(fault.Refuse); on {
		reply.Error(w, http.StatusServiceUnavailable, openai.CodeOverloaded, "the service takes no work")
		return true
	}
	return false
}

func (s *Service) latency() time.Duration {
	straggler, on := s.faults.Get(fault.Straggler)
	if !on {
		return s.opts.Latency
	}
	return time.Duration(float64(s.opts.Latency) * straggler.Factor)
}

// crashes says whether this body crashes the service.
func (s *Service) crashes(body string) bool {
	if crash, on := s.faults.Get(fault.CrashOnPrompt); on && strings.Contains(body, crash.Text) {
		return true
	}
	crash, on := s.faults.Get(fault.CrashMidAnswer)
	if !on || !strings.Contains(body, crash.Text) {
		return false
	}
	_, first := s.faults.Take(fault.CrashMidAnswer)
	return first
}

func (s *Service) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(s.opts.RestartTime)
	close(s.crashed)
	s.crashed = make(chan struct{})
}

// life returns the channel that a crash closes and whether one is being
// recovered from.
func (s *Service) life() (crashed <-chan struct{}, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed, time.Now().Before(s.downUntil)
}
