// Package settings is what one process is told at its start, in YAML: its
// name, where it runs, its addresses, the platform's addresses, key files,
// the first peers and the operators' keys.
//
// It holds no state: a process reads its settings once. All that may change
// while it runs is in the configuration (package config).
package settings
