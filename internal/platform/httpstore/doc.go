// Package httpstore is the HTTP/JSON client of the platform's service.
//
// It holds no state but idle connections, bounded by maxIdleConnections. In a
// platform outage every call ends with platform.ErrUnavailable within its
// timeout; a call whose answer was lost ends the same way. It never repeats a
// call by itself.
package httpstore
