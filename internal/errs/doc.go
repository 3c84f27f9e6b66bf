// Package errs is the project's errorx namespace: every error that crosses a
// package boundary carries the step at which it arose and the peer it came
// from. It holds no state.
package errs
