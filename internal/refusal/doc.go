// Package refusal holds the closed lists of outcomes and reasons a caller can
// be told, and the error type that carries them from the place where a request
// was given up to the HTTP response. It holds no state.
package refusal
