//go:build !race

package bubbletest

const raceDetectorEnabled = false
