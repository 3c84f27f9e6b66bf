package pause

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// maxSeconds bounds what is parsed, so that it fits a duration.
const maxSeconds = 1e6

// ParseRetryAfter parses the seconds of a Retry-After header, which may have a fraction. It returns
// zero for a value that is not a positive number, such as a date.
func ParseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second))
}
