// Package boottime reads the clock that goes on while a VM is suspended. Ages
// and deadlines that decide whether a node may still trust what it knows are
// taken on it: time.Now's monotonic reading stands still during a suspension,
// so that a VM that wakes up would take old knowledge for fresh. It holds no
// state.
package boottime
