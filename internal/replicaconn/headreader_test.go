package replicaconn

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"galenatrestle/internal/httplimits"
)

// pipePool returns a pool whose connections end at the function, which gets the replica's side.
func pipePool(replica func(net.Conn)) *Pool {
	return NewPool(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go replica(far)
		return near, nil
	}, nil)
}

// Guards against nodes that run out of memory because a replica sends bytes that are no response and never end.
func TestResponseHeadWithoutEndIsNotReadOn(t *testing.T) {
	const sentBytes = 4 << 20
	for name, test := range map[string]struct{ begin, repeated string }{
		"status line without end":          {"", "x"},
		"header line without end":          {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines without end":         {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"interim responses without end":    {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 32<<10) + "\r\n\r\n"},
		"interim response, then garbage":   {"HTTP/1.1 100 Continue\r\n\r\n", "x"},
		"header line that is continued on": {"HTTP/1.1 200 OK\r\nA: ", "x\r\n "},
	} {
		t.Run(name, func(t *testing.T) {
			taken := make(chan int, 1)
			p := pipePool(func(far net.Conn) {
				defer far.Close()
				_, _ = far.Read(make([]byte, 1024))
				n, _ := io.WriteString(far, test.begin+strings.Repeat(test.repeated, sentBytes/len(test.repeated)))
				taken <- n
			})
			c := open(t, p, "replica")
			if err := c.Send(&Request{Method: "GET", Target: "/", Host: "h"}); err != nil {
				t.Fatal(err)
			}
			_, err := c.Receive("GET")
			c.Close()
			if n := <-taken; n > httplimits.HeadBytes+readBufferSize {
				t.Errorf("%d bytes were taken, want at most %d", n, httplimits.HeadBytes+readBufferSize)
			}
			if !errors.Is(err, ErrHeadTooLong) {
				t.Errorf("error %v, want %v", err, ErrHeadTooLong)
			}
		})
	}
}

// The limit of a head holds for each response anew and not for bodies.
func TestResponsesWithinTheHeadLimitAreRead(t *testing.T) {
	const bodyBytes = 3 * httplimits.HeadBytes
	head := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", httplimits.HeadBytes/2) + "\r\nContent-Length: " + strconv.Itoa(bodyBytes) + "\r\n\r\n"
	p := pipePool(func(far net.Conn) {
		defer far.Close()
		for range 3 {
			_, _ = far.Read(make([]byte, 1024))
			_, _ = io.WriteString(far, head+strings.Repeat("b", bodyBytes))
		}
	})
	c := open(t, p, "replica")
	defer c.Close()
	for range 3 {
		if err := c.Send(&Request{Method: "GET", Target: "/", Host: "h"}); err != nil {
			t.Fatal(err)
		}
		response, err := c.Receive("GET")
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || len(body) != bodyBytes {
			t.Fatalf("%d bytes of the body, error %v", len(body), err)
		}
	}
}

// Guards against log lines as long as the bytes that a replica sends in place of a response.
func TestErrorOfAMalformedHeadIsShort(t *testing.T) {
	p := pipePool(func(far net.Conn) {
		defer far.Close()
		_, _ = far.Read(make([]byte, 1024))
		_, _ = io.WriteString(far, strings.Repeat("x", httplimits.HeadBytes/2)+"\r\n\r\n")
	})
	c := open(t, p, "replica")
	defer c.Close()
	if err := c.Send(&Request{Method: "GET", Target: "/", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Receive("GET"); err == nil || len(err.Error()) > 2*maxErrorText || !strings.HasPrefix(err.Error(), "malformed") {
		t.Errorf("error of %d bytes, want a short one of a malformed response", len(err.Error()))
	}
}
