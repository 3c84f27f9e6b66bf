package daemon

import (
	"context"
	"runtime"
	"runtime/debug"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/edge"
	"galenatrestle/internal/settings"
	"galenatrestle/platform"
)

const (
	// memoryPart is the part of a process's memory at which the collector works
	// harder: the rest is for what it does not count, sockets' bytes among it.
	memoryPart = 0.5
	// collectAt is how much the heap may grow between two collections, in
	// percent. The heap is a few megabytes, so that collections are cheap, and
	// memory is paid for by its peak.
	collectAt = 50
	megabyte  = 1 << 20
)

// runPassThrough serves callers by pass-through routes until ctx ends.
func runPassThrough(ctx context.Context, s *settings.Settings, o Options) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectAt)
	if s.PassThrough.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * s.PassThrough.MemoryMB * megabyte))
	}
	options := edge.Options{
		Settings: s,
		Store:    platform.NewStore(s.Platform.Addresses[0]),
		Codec:    platform.Codec{},
		Decode:   platform.DecodeConfiguration,
		Wire:     platform.Wire{},
		Clock:    boottime.Now,
		Seed:     uint64(time.Now().UnixNano()),
		Output:   o.Stdout,

		DialReplica: o.DialReplica,
	}
	if duties := s.PassThrough.Duties; duties != nil {
		options.Duties = platform.NewDuties(duties.Address)
	}
	n, err := edge.New(options)
	if err != nil {
		return err
	}
	go followSettings(ctx, o.SettingsPath, n)
	return n.Run(ctx)
}
