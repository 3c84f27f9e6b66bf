// Package dev is the job of trestle-dev: it runs an embedded deployment for a
// person at a terminal and tells how to use it.
package dev
