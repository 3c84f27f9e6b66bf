// Package wire holds the JSON messages between the platform's service and its
// client: one POST to Path(call) for each platform.Call. It holds no state.
package wire
