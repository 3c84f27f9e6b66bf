package daemon

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestFailoverReachesTheAddressThatAnswers has a dead address before a live one.
func TestFailoverReachesTheAddressThatAnswers(t *testing.T) {
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	deadAddress := dead.Addr().String()
	// The live one is opened first: the system may give a port that was just
	// closed to the next listener.
	live := httptest.NewServer(http.NotFoundHandler())
	defer live.Close()
	if err := dead.Close(); err != nil {
		t.Fatal(err)
	}
	f := newFailover([]string{deadAddress, strings.TrimPrefix(live.URL, "http://")})
	client := &http.Client{Transport: f.transport()}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + deadAddress + "/")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNotFound || f.good.Load() != 1 {
		t.Errorf("status %d, good address %d; want 404 from address 1", response.StatusCode, f.good.Load())
	}
}
