// Package config is the operators' configuration document: its types, its
// parser, its checks and its lookups. A Document is immutable once checked;
// a new revision replaces it as a whole.
//
// It is hard state: it lives in the platform's service and changes only by
// compare-and-swap (package configsync).
package config
