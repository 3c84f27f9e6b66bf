// Package logtrace joins the log lines of several nodes into the timeline of one
// request. It holds no state.
package logtrace
