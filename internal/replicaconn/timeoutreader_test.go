package replicaconn

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
)

// Guards against chunked bodies that cannot be read on after a read deadline.
func TestChunkedBodyIsReadOnAfterAReadTimeout(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		client, server := net.Pipe()
		pool := NewPool(nil, nil)
		pool.dial = func(context.Context, string) (net.Conn, error) { return client, nil }
		c := open(t, pool, "")
		timeouts := 0
		c.OnReadTimeout(func() error {
			timeouts++
			c.SetReadDeadline(time.Now().Add(time.Second))
			return nil
		})
		c.SetReadDeadline(time.Now().Add(time.Second))
		go func() {
			_, _ = io.ReadAll(io.LimitReader(server, 1))
			for _, part := range []string{"HTTP/1.1 200 OK\r\nTransfer-Enc", "oding: chunked\r\n\r\n5\r", "\nwh", "ole\r\n0\r\n\r", "\n"} {
				time.Sleep(1500 * time.Millisecond)
				_, _ = io.WriteString(server, part)
			}
		}()
		go func() { _ = c.Send(&Request{Method: "GET", Target: "/", Host: "h"}) }()
		response, err := c.Receive("GET")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || string(body) != "whole" || timeouts != 7 {
			t.Errorf("body %q, error %v after %d timeouts", body, err, timeouts)
		}
		stop := errors.New("stop")
		c.OnReadTimeout(func() error { return stop })
		c.SetReadDeadline(time.Unix(1, 0))
		if _, err := c.Receive("GET"); !errors.Is(err, stop) {
			t.Errorf("error %v", err)
		}
		c.Close()
		server.Close()
	})
}
