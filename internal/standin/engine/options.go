package engine

import (
	"cmp"
	"time"
)

// Options describe one engine. Zero values take the default named with them.
type Options struct {
	// Name is the replica's name.
	Name string
	// Model is the main model, Models are further ones (adapters).
	Model  string
	Models []string
	// Slots is the batch size past which the time between tokens grows in
	// proportion. Default 8.
	Slots int
	// BatchBound is the most requests that run at once. Default 4 x Slots.
	BatchBound int
	// QueueBound is the most requests that wait for the batch; past it the
	// engine says that it is overloaded. Default 1024.
	QueueBound int
	// TokenInterval is the time between tokens up to Slots. Default 20ms.
	TokenInterval time.Duration
	// PrefillPerToken is the time to read one uncached prompt word; prompts
	// are read one after the other. Default 200us.
	PrefillPerToken time.Duration
	// CacheTokens bounds the prefix cache, in words. Default 16384.
	CacheTokens int
	// LoadLag is the age of the load report. Default 500ms; negative: none.
	LoadLag time.Duration
	// CacheEventLag is how late cache events are told. Default 1s.
	CacheEventLag time.Duration
	// CacheEventLoss is the part of cache events that is lost. Default 0.05;
	// negative: none.
	CacheEventLoss float64
	// RestartTime is how long a crashed engine takes to be back. Default 1s.
	RestartTime time.Duration
	// Speed divides all the times above, for compressed runs. Default 1.
	Speed float64
	// Seed sets the lengths of answers to requests without max_tokens. It has
	// to be the same on all replicas of an upstream.
	Seed uint64
	// HonoursFencing makes it refuse orders with an old epoch.
	HonoursFencing bool
}

// DefaultTokenInterval is the time between tokens of Options that name none.
const DefaultTokenInterval = 20 * time.Millisecond

// DefaultPrefillPerToken is the time to read an uncached prompt word of Options
// that name none.
const DefaultPrefillPerToken = 200 * time.Microsecond

// Defaults of Options.
const (
	defaultSlots          = 8
	defaultBatchPerSlot   = 4
	defaultQueueBound     = 1024
	defaultCacheTokens    = 16384
	defaultLoadLag        = 500 * time.Millisecond
	defaultCacheEventLag  = time.Second
	defaultCacheEventLoss = 0.05
	defaultRestartTime    = time.Second
)

func (o Options) withDefaults() Options {
	o.Slots = cmp.Or(o.Slots, defaultSlots)
	o.BatchBound = cmp.Or(o.BatchBound, defaultBatchPerSlot*o.Slots)
	o.QueueBound = cmp.Or(o.QueueBound, defaultQueueBound)
	o.CacheTokens = cmp.Or(o.CacheTokens, defaultCacheTokens)
	o.CacheEventLoss = cmp.Or(o.CacheEventLoss, defaultCacheEventLoss)
	o.Speed = cmp.Or(o.Speed, 1)
	o.TokenInterval = o.scaled(o.TokenInterval, DefaultTokenInterval)
	o.PrefillPerToken = o.scaled(o.PrefillPerToken, DefaultPrefillPerToken)
	o.LoadLag = o.scaled(o.LoadLag, defaultLoadLag)
	o.CacheEventLag = o.scaled(o.CacheEventLag, defaultCacheEventLag)
	o.RestartTime = o.scaled(o.RestartTime, defaultRestartTime)
	return o
}

func (o Options) scaled(value, fallback time.Duration) time.Duration {
	return time.Duration(float64(cmp.Or(value, fallback)) / o.Speed)
}
