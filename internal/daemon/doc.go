// Package daemon turns a settings file into a running node and stops it
// gracefully. It holds no state of its own.
package daemon
