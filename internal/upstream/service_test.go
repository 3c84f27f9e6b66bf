package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"galenatrestle/internal/httplimits"
)

// TestServiceNeverRepeats closes an idle connection at the moment of the next
// call: the transport repeats a request with an Idempotency-Key by itself
// unless it is kept from it.
func TestServiceNeverRepeats(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, unrepeatable := range []bool{false, true} {
			t.Run(fmt.Sprint(method, unrepeatable), func(t *testing.T) {
				var runs atomic.Int64
				address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
					if runs.Add(1) > 1 {
						connection, _, _ := http.NewResponseController(w).Hijack()
						_ = connection.Close()
					}
				})
				service := NewService(Options{})
				t.Cleanup(service.Close)
				call := ServiceCall{
					Method: method, Path: "/claims", Unrepeatable: unrepeatable,
					Header: http.Header{"Idempotency-Key": {"k"}},
				}
				if _, err := service.Do(t.Context(), address, call); err != nil {
					t.Fatal(err)
				}
				if _, err := service.Do(t.Context(), address, call); KindOf(err) != Crashed {
					t.Fatalf("error %v, want %s", err, Crashed)
				}
				if runs.Load() != 2 {
					t.Fatalf("%d runs, want 2", runs.Load())
				}
			})
		}
	}
}

func TestServicePassesThrough(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{"Authorization", "X-Private", "Connection"} {
			if r.Header.Get(name) != "" {
				w.Header().Add("X-Leaked", name)
			}
		}
		w.Header().Set("X-Kept", r.Header.Get("X-Kept")+r.URL.RawQuery)
		w.WriteHeader(http.StatusTeapot)
		fmt.Fprint(w, "body")
	})
	service := NewService(Options{})
	t.Cleanup(service.Close)
	answer, err := service.Do(t.Context(), address, ServiceCall{
		Method: http.MethodPut, Path: "/a?b=c", Body: []byte("x"),
		Header: http.Header{
			"Authorization": {"Bearer caller"}, "Connection": {"X-Private"},
			"X-Private": {"1"}, "X-Kept": {"1"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if answer.Status != http.StatusTeapot || string(answer.Body) != "body" {
		t.Fatalf("answer %+v", answer)
	}
	if answer.Header.Get("X-Kept") != "1b=c" || answer.Header.Get("X-Leaked") != "" {
		t.Fatalf("headers %v", answer.Header)
	}
	if _, err := service.Do(t.Context(), closedAddress(t), ServiceCall{Method: "POST", Path: "/"}); KindOf(err) != NotRun {
		t.Fatalf("error %v, want %s", err, NotRun)
	}
}

func TestServiceAnswerBound(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "12345") })
	service := NewService(Options{MaxAnswerBytes: 4})
	t.Cleanup(service.Close)
	if _, err := service.Do(t.Context(), address, ServiceCall{Method: "GET", Path: "/"}); KindOf(err) != Broken {
		t.Fatalf("error %v, want %s", err, Broken)
	}
}

// Guards against nodes that hold megabytes of a head for each upstream that sends no response.
func TestLongHeadOfAnUpstreamIsNotRead(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", strings.Repeat("x", 4*httplimits.HeadBytes))
	})
	service, engine := NewService(Options{}), newTestEngine(t, Options{})
	t.Cleanup(service.Close)
	if _, err := service.Do(t.Context(), address, ServiceCall{Method: http.MethodGet, Path: "/"}); KindOf(err) != Crashed {
		t.Errorf("error %v of a service, want %s", err, Crashed)
	}
	if _, err := engine.Start(t.Context(), address, EngineCall{Path: "/"}); KindOf(err) != Crashed {
		t.Errorf("error %v of an engine, want %s", err, Crashed)
	}
}

// Guards against answers that are not HTTP: a status of 000 can't be passed on, and a length whose name is spoiled is not kept.
func TestAnswerWhoseHeadIsNotHTTPIsNoAnswer(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 Status\r\n", "HTTP/1.1 101 Switching Protocols\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 9\r\n"} {
		address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			connection, _, _ := http.NewResponseController(w).Hijack()
			_, _ = io.WriteString(connection, head+"\r\ndata: {}\n\ndata: [DONE]\n\n")
			_ = connection.Close()
		})
		service, engine := NewService(Options{}), newTestEngine(t, Options{})
		t.Cleanup(service.Close)
		if answer, err := service.Do(t.Context(), address, ServiceCall{Method: http.MethodGet, Path: "/"}); KindOf(err) != Crashed {
			t.Errorf("%q: answer %+v, error %v of a service, want %s", head, answer, err, Crashed)
		}
		if _, err := engine.Start(t.Context(), address, EngineCall{Path: "/"}); KindOf(err) != Crashed {
			t.Errorf("%q: error %v of an engine, want %s", head, err, Crashed)
		}
	}
}

// Guards against a part of an answer that looks whole because its connection was reset while the request was still being written.
func TestAnswerCutWhileTheRequestIsWrittenIsNotWhole(t *testing.T) {
	for name, readsOn := range map[string]bool{"cut": false, "read on": true} {
		service := NewService(Options{Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				request, err := http.ReadRequest(bufio.NewReader(far))
				if err != nil {
					return
				}
				_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\npart")
				if readsOn {
					_, _ = io.Copy(io.Discard, request.Body)
				}
			}()
			return near, nil
		}})
		answer, err := service.Do(t.Context(), "upstream:80", ServiceCall{Method: http.MethodPost, Path: "/", Body: make([]byte, 64<<10)})
		if readsOn && err != nil || !readsOn && KindOf(err) != Crashed {
			t.Errorf("%s: answer %+v, error %v", name, answer, err)
		}
	}
}
