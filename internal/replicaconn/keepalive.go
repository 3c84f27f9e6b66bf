package replicaconn

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveTimeout returns the timeout in a Keep-Alive header; zero: none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds <= 0 {
			continue
		}
		return time.Duration(seconds) * time.Second
	}
	return 0
}
