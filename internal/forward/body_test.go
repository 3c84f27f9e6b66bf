package forward_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/route"
)

// A long body that took longer than the wait for its first byte was cut.
func TestLongBodyMayTakeLongerThanTheFirstByte(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		const part = 100 << 10
		list := replicas(func(c *forwardtest.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\n%s: s1\r\nContent-Length: %d\r\n\r\n", forwardtest.HeaderID, forwardtest.HeaderStamp, 5*part)
			for range 5 {
				time.Sleep(60 * time.Millisecond)
				if _, err := c.Write([]byte(strings.Repeat("x", part))); err != nil {
					return false
				}
			}
			return true
		}, func(c *forwardtest.Conn) bool { return c.Refuse(http.StatusServiceUnavailable) })
		w, ending := serve(t, forwardtest.NewFleet(t, list...), call(route.Idempotent, 2))
		if ending != forward.EndedComplete || w.Body.Len() != 5*part {
			t.Errorf("ending %s, %d bytes", ending, w.Body.Len())
		}
	})
}
