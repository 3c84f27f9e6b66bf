// Package dev runs a small deployment in one process: the platform stand-in,
// three nodes in two availability zones, engine and plain-service stand-ins.
// It is for a newcomer's machine and for tests of the whole path.
package dev
