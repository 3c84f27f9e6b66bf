package config

import (
	"cmp"
	"time"
)

// The defaults of fields that a document leaves out.
const (
	// DefaultWeight is a workspace's fair share inside a class.
	DefaultWeight = 1.0
	// DefaultBurst is the seconds of quota that may be taken at once.
	DefaultBurst = 2.0
	// DefaultQueueBound is the most requests of a class that wait at a node.
	DefaultQueueBound = 1000
	// DefaultRetention is how long an answer can be fetched again.
	DefaultRetention = Duration(time.Minute)
	// DefaultSlotsPerReplica is the concurrency limit a replica starts with.
	DefaultSlotsPerReplica = 8
	// DefaultMaxBodyBytes is the largest request body.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultMaxTokens is the longest answer.
	DefaultMaxTokens = 32768
	// DefaultRetryBudget is the part of successes that retries may spend.
	DefaultRetryBudget = 0.1
	// DefaultMaxAttempts bounds the attempts of one request.
	DefaultMaxAttempts = 3
)

func (d *Document) fillDefaults() {
	for i := range d.Workspaces {
		d.Workspaces[i].fillDefaults()
	}
	for i := range d.Classes {
		d.Classes[i].fillDefaults()
	}
	for i := range d.Upstreams {
		d.Upstreams[i].fillDefaults()
	}
	d.Limits.fillDefaults()
}

func (w *Workspace) fillDefaults() {
	w.Weight = cmp.Or(w.Weight, DefaultWeight)
	if w.Quota.RequestsPerSecond > 0 || w.Quota.TokensPerSecond > 0 {
		w.Quota.Burst = cmp.Or(w.Quota.Burst, DefaultBurst)
	}
}

func (c *Class) fillDefaults() {
	c.MinShareAfter = cmp.Or(c.MinShareAfter, c.GiveUpAfter/2)
	c.QueueBound = cmp.Or(c.QueueBound, DefaultQueueBound)
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
}

func (u *Upstream) fillDefaults() {
	if u.Kind == KindEngine {
		u.Model = cmp.Or(u.Model, u.Name)
	}
	u.SlotsPerReplica = cmp.Or(u.SlotsPerReplica, DefaultSlotsPerReplica)
	dropEmpty(&u.Adapters)
	dropEmpty(&u.Unrepeatable)
}

func (l *Limits) fillDefaults() {
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, DefaultMaxBodyBytes)
	l.MaxTokens = cmp.Or(l.MaxTokens, DefaultMaxTokens)
	l.RetryBudget = cmp.Or(l.RetryBudget, DefaultRetryBudget)
	l.MaxAttempts = cmp.Or(l.MaxAttempts, DefaultMaxAttempts)
}

// dropEmpty makes an empty list equal to one that is left out.
func dropEmpty[T any](list *[]T) {
	if len(*list) == 0 {
		*list = nil
	}
}
