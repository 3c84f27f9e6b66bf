// Package bubbletest runs tests in synctest bubbles, also under the race detector.
//
// The runtime runs a bubble's timers on the threads of all its goroutines, but with a single race
// detector context. Two threads that use it at the same time abort the process with
// "ThreadSanitizer: CHECK failed". While tests run in bubbles, goroutines of the process therefore
// take turns; this does not change which races are detected.
package bubbletest
