package settings

import (
	"cmp"
	"fmt"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/yamldoc"
)

// Claims sizes the ledger of unrepeatable calls. All nodes that share a
// platform must have the same; shards, segment_bytes and max_bytes can't be
// changed while claims are kept.
type Claims struct {
	// KeyRetention is how long an ended call is known: its repeat after that
	// runs again. Default 24h.
	KeyRetention config.Duration `yaml:"key_retention,omitempty"`
	// AnswerRetention is how long the answer is kept, after which a repeat
	// gets the status alone. Default 10m.
	AnswerRetention config.Duration `yaml:"answer_retention,omitempty"`
	// Shards is how many holders share the keys. Default 4.
	Shards int `yaml:"shards,omitempty" validate:"omitempty,min=1,max=256"`
	// SegmentBytes is the size of one value in the platform. Default 16384.
	SegmentBytes int `yaml:"segment_bytes,omitempty" validate:"omitempty,min=4096,max=262144"`
	// MaxBytes bounds what all shards take in the platform. Default 32 MiB.
	MaxBytes int `yaml:"max_bytes,omitempty" validate:"omitempty,min=1048576,max=1073741824"`
}

// The defaults of Claims. They hold 10 claims a second at the rush and 5 a
// second on the day's average.
const (
	DefaultClaimKeyRetention    = config.Duration(24 * time.Hour)
	DefaultClaimAnswerRetention = config.Duration(10 * time.Minute)
	DefaultClaimShards          = 4
	DefaultClaimSegmentBytes    = 16 << 10
	DefaultClaimMaxBytes        = 32 << 20
)

// The bounds that the tags can't say.
const (
	minKeyRetention    = config.Duration(time.Hour)
	maxKeyRetention    = config.Duration(7 * 24 * time.Hour)
	minAnswerRetention = config.Duration(time.Minute)
	minSegments        = 8
	maxSegments        = 8192
)

// Segments returns the number of segments in each shard.
func (c Claims) Segments() int { return c.MaxBytes / (c.Shards * c.SegmentBytes) }

func (c *Claims) fillDefaults() {
	c.KeyRetention = cmp.Or(c.KeyRetention, DefaultClaimKeyRetention)
	c.AnswerRetention = cmp.Or(c.AnswerRetention, DefaultClaimAnswerRetention)
	c.Shards = cmp.Or(c.Shards, DefaultClaimShards)
	c.SegmentBytes = cmp.Or(c.SegmentBytes, DefaultClaimSegmentBytes)
	c.MaxBytes = cmp.Or(c.MaxBytes, DefaultClaimMaxBytes)
}

// checkClaims notes sizes that don't fit each other.
func checkClaims(source *yamldoc.Source, claims Claims) {
	claims.fillDefaults()
	if claims.KeyRetention < minKeyRetention || claims.KeyRetention > maxKeyRetention {
		source.Add("claims.key_retention", claims.KeyRetention.String(), "must be between 1h and 168h")
	}
	if claims.AnswerRetention < minAnswerRetention || claims.AnswerRetention > claims.KeyRetention {
		source.Add("claims.answer_retention", claims.AnswerRetention.String(), "must be between 1m and key_retention")
	}
	if claims.Shards < 1 || claims.SegmentBytes < 1 {
		return
	}
	segments := claims.Segments()
	if segments < minSegments || segments > maxSegments {
		source.Add("claims.max_bytes", fmt.Sprint(claims.MaxBytes), fmt.Sprintf(
			"makes %d segments in each of %d shards, must be between %d and %d", segments, claims.Shards, minSegments, maxSegments))
	}
}
