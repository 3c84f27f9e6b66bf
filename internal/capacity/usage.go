package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the processor time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	// It fails only for a wrong argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuOf returns the processor time that f took, its garbage collection
// included.
func cpuOf(f func()) time.Duration {
	runtime.GC()
	before := cpuTime()
	f()
	return cpuTime() - before
}

// heap returns the bytes that are in use after a collection.
func heap() float64 {
	// Finalizers and pools need a second round.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapOf returns the bytes that are kept by what build returns.
func heapOf[T any](build func() T) float64 {
	before := heap()
	built := build()
	after := heap()
	runtime.KeepAlive(built)
	return max(after-before, 0)
}

// entryCores is the size of an entry VM as assumed for calls one by one: on
// more cores idle threads look for work, which counts as processor time.
const entryCores = 2

// fewCores limits this process to entryCores until the returned function is
// called.
func fewCores() (restore func()) {
	before := runtime.GOMAXPROCS(entryCores)
	return func() { runtime.GOMAXPROCS(before) }
}
