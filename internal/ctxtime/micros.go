package ctxtime

import "time"

// ToMicros returns the time as microseconds since the Unix epoch, and the zero time as zero.
func ToMicros(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

// FromMicros is the reverse of ToMicros.
func FromMicros(micros int64) time.Time {
	if micros == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros)
}
