// Package logging sets up the structured log of a process. It holds no state.
package logging
