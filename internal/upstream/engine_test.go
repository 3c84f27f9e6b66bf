package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/openai"
)

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newTestEngine(t *testing.T, o Options) *Engine {
	t.Helper()
	engine := NewEngine(o)
	t.Cleanup(engine.Close)
	return engine
}

func readAll(s *Stream) (payloads []string, err error) {
	defer s.Close()
	for {
		payload, err := s.Next()
		if err != nil {
			return payloads, err
		}
		payloads = append(payloads, string(payload))
	}
}

func reset(w http.ResponseWriter) {
	connection, _, _ := http.NewResponseController(w).Hijack()
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

func TestStreamEnds(t *testing.T) {
	const whole = "data: {\"a\":1}\n\n: note\n\ndata:{\"a\":2}\n\ndata: [DONE]\n\n"
	tests := []struct {
		name     string
		write    func(w http.ResponseWriter)
		payloads int
		want     Kind
	}{
		{"whole", func(w http.ResponseWriter) { fmt.Fprint(w, whole) }, 2, ""},
		{"ends without mark", func(w http.ResponseWriter) { fmt.Fprint(w, "data: {}\n\n") }, 1, Broken},
		{"half a mark", func(w http.ResponseWriter) { fmt.Fprint(w, "data: [DO") }, 0, Broken},
		{"mark without line end", func(w http.ResponseWriter) { fmt.Fprint(w, "data: {}\n\ndata: [DONE]") }, 1, ""},
		// Guards against a part of an event that callers get as a whole one.
		{"half an event", func(w http.ResponseWriter) { fmt.Fprint(w, "data: {}\n\ndata: {\"b\":") }, 1, Broken},
		{"half an event, reset", func(w http.ResponseWriter) {
			fmt.Fprint(w, "data: {}\n\ndata: {\"b\":")
			_ = http.NewResponseController(w).Flush()
			reset(w)
		}, 1, Crashed},
		{"empty", func(http.ResponseWriter) {}, 0, Broken},
		{"reset", func(w http.ResponseWriter) {
			fmt.Fprint(w, "data: {}\n\n")
			_ = http.NewResponseController(w).Flush()
			reset(w)
		}, 1, Crashed},
		{"reported error", func(w http.ResponseWriter) {
			fmt.Fprint(w, "data: {}\n\ndata: {\"error\":{}}\n\ndata: [DONE]\n\n")
		}, 1, Refused},
		{"line over the bound", func(w http.ResponseWriter) {
			fmt.Fprintf(w, "data: %0200d\n\ndata: [DONE]\n\n", 1)
		}, 0, Broken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, func(w http.ResponseWriter, _ *http.Request) { test.write(w) })
			engine := newTestEngine(t, Options{MaxPayloadBytes: 100})
			stream, err := engine.Start(t.Context(), address, EngineCall{ID: "1", Path: "/", Stream: true})
			if err != nil {
				t.Fatal(err)
			}
			payloads, err := readAll(stream)
			if test.want == "" && err != io.EOF {
				t.Fatalf("error %v, want io.EOF", err)
			}
			if test.want != "" && (err == io.EOF || KindOf(err) != test.want) {
				t.Fatalf("error %v, want kind %s", err, test.want)
			}
			// A reset may overtake bytes on their way; the count is then less.
			if len(payloads) > test.payloads || (test.want != Crashed && len(payloads) != test.payloads) {
				t.Fatalf("payloads %q, want %d", payloads, test.payloads)
			}
		})
	}
}

func TestStartKinds(t *testing.T) {
	answer := func(status int, code string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			fmt.Fprintf(w, `{"error":{"code":%q}}`, code)
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    Kind
	}{
		{"overloaded", answer(503, openai.CodeOverloaded), NotRun},
		{"leaving", answer(503, openai.CodeLeaving), NotRun},
		{"503 of another cause", answer(503, "worker_lost"), Refused},
		{"overloaded, but not 503", answer(500, openai.CodeOverloaded), Refused},
		{"bad request", answer(400, "bad"), Refused},
		{"dies before the answer", func(w http.ResponseWriter, _ *http.Request) { reset(w) }, Crashed},
		{"closes before the answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Crashed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := newTestEngine(t, Options{}).Start(t.Context(), serve(t, test.handler), EngineCall{Path: "/"})
			var failed *Error
			if !errors.As(err, &failed) || failed.Kind != test.want || failed.Peer == "" || failed.Step == "" {
				t.Fatalf("error %v, want kind %s with step and peer", err, test.want)
			}
			if errors.Is(err, io.EOF) {
				t.Fatalf("error %v can be taken for a clean end", err)
			}
		})
	}
}

func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestDialFailureIsNotRun(t *testing.T) {
	_, err := newTestEngine(t, Options{}).Start(t.Context(), closedAddress(t), EngineCall{Path: "/"})
	if KindOf(err) != NotRun {
		t.Fatalf("error %v, want %s", err, NotRun)
	}
}

func TestWholeBody(t *testing.T) {
	tests := []struct {
		name, body string
		length     string
		want       Kind
	}{
		{"whole", `{"id":"1"}`, "10", ""},
		{"cut", `{"id":`, "10", Crashed},
		{"not JSON", `{"id":`, "6", Broken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", test.length)
				fmt.Fprint(w, test.body)
			})
			stream, err := newTestEngine(t, Options{}).Start(t.Context(), address, EngineCall{Path: "/"})
			if err != nil {
				t.Fatal(err)
			}
			payloads, err := readAll(stream)
			if test.want == "" && (err != io.EOF || len(payloads) != 1 || payloads[0] != test.body) {
				t.Fatalf("got %q, %v", payloads, err)
			}
			if test.want != "" && (err == io.EOF || KindOf(err) != test.want) {
				t.Fatalf("error %v, want kind %s", err, test.want)
			}
		})
	}
}

// TestCancelReachesEngine proves that the engine sees its connection closed.
func TestCancelReachesEngine(t *testing.T) {
	gone := make(chan struct{})
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "data: {}\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(gone)
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream, err := newTestEngine(t, Options{}).Start(ctx, address, EngineCall{Path: "/", Stream: true})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if _, err := stream.Next(); err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := stream.Next(); KindOf(err) != Cancelled {
		t.Fatalf("error %v, want %s", err, Cancelled)
	}
	<-gone
}

// TestSilentEngine uses an in-memory connection, so that time is the bubble's.
func TestSilentEngine(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		engine := NewEngine(Options{StallTimeout: time.Minute})
		engine.transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return near, nil
		}
		began := time.Now()
		_, err := engine.Start(t.Context(), "engine:1", EngineCall{Path: "/"})
		if KindOf(err) != Timeout || time.Since(began) != time.Minute {
			t.Fatalf("error %v after %v, want %s after a minute", err, time.Since(began), Timeout)
		}
		began = time.Now()
		_, err = engine.Start(t.Context(), "engine:1", EngineCall{Path: "/", Patience: time.Second})
		if KindOf(err) != Timeout || time.Since(began) != time.Second {
			t.Fatalf("error %v after %v, want %s after a second", err, time.Since(began), Timeout)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := engine.Start(ctx, "engine:1", EngineCall{Path: "/"}); KindOf(err) != Timeout {
			t.Fatalf("error %v, want %s", err, Timeout)
		}
	})
}

// TestConnectionClosedBeforeTheAnswerIsNoCleanEnd has a server that closes the
// connection after reading the request, which net/http reports as io.EOF.
func TestConnectionClosedBeforeTheAnswerIsNoCleanEnd(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	engine := NewEngine(Options{})
	defer engine.Close()
	_, err := engine.Start(t.Context(), strings.TrimPrefix(server.URL, "http://"), EngineCall{Path: "/", Body: []byte("{}")})
	if KindOf(err) != Crashed {
		t.Errorf("error %v, want a crash", err)
	}
	if errors.Is(err, io.EOF) {
		t.Errorf("error %v can be taken for a clean end", err)
	}
}

func TestPauseThatAnEngineAsksForIsPassedOn(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		code   string
		want   time.Duration
	}{
		{"refused before it ran", http.StatusServiceUnavailable, openai.CodeOverloaded, 1500 * time.Millisecond},
		{"may have run", http.StatusServiceUnavailable, "worker_lost", 0},
		{"error", http.StatusInternalServerError, "internal", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got EngineRefusal
			engine := newTestEngine(t, Options{Refused: func(r EngineRefusal) { got = r }})
			address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "1.5")
				w.WriteHeader(test.status)
				fmt.Fprintf(w, `{"error":{"code":%q}}`, test.code)
			}))
			if _, err := engine.Start(t.Context(), address, EngineCall{Path: "/"}); err == nil {
				t.Fatal("no error")
			}
			if want := (EngineRefusal{Address: address, Code: test.code, Pause: test.want}); got != want {
				t.Errorf("refusal %+v, want %+v", got, want)
			}
		})
	}
}
