package settings

import (
	"cmp"
	"fmt"

	"galenatrestle/internal/yamldoc"
)

// ZoneTraffic says what traffic between availability zones costs and which of it is allowed.
type ZoneTraffic struct {
	// RequestsPerGigabyte is the number of requests on time that a gigabyte between zones is worth.
	RequestsPerGigabyte float64 `yaml:"requests_per_gigabyte" validate:"min=0,max=1000000000"`
	// MaxShare caps the part of a zone's requests that leaves because of load. Default 1.
	MaxShare *float64 `yaml:"max_share,omitempty" validate:"omitempty,min=0,max=1"`
	// Forbidden are pairs of zones: nodes of the first send nothing to replicas of the second.
	Forbidden []ZonePair `yaml:"forbidden,omitempty" validate:"max=256,dive"`
	// CopyBytesPerToken is the size of a cached token that replicas copy from each other. Default 0:
	// copies are not charged.
	CopyBytesPerToken float64 `yaml:"copy_bytes_per_token,omitempty" validate:"min=0,max=1000000000"`
}

// ZonePair is an ordered pair of availability zones.
type ZonePair struct {
	From string `yaml:"from" validate:"required,max=100,name"`
	To   string `yaml:"to" validate:"required,max=100,name"`
}

const defaultMaxShare = 1.0

// checkZoneTraffic notes pairs that make no sense. Zones that nobody registers are not an error: they
// may come later.
func checkZoneTraffic(source *yamldoc.Source, t *ZoneTraffic) {
	if t == nil {
		return
	}
	seen := make(map[ZonePair]int, len(t.Forbidden))
	for i, pair := range t.Forbidden {
		field := fmt.Sprintf("pass_through.zone_traffic.forbidden[%d]", i)
		first, repeated := seen[pair]
		switch {
		case pair.From == pair.To:
			source.Add(field+".to", pair.To, "must differ from the zone in from")
		case repeated:
			source.Add(field, pair.From+" to "+pair.To, fmt.Sprintf("is entry %d already", first))
		default:
			seen[pair] = i
		}
	}
}

func (t *ZoneTraffic) fillDefaults() {
	if t == nil {
		return
	}
	share := defaultMaxShare
	t.MaxShare = cmp.Or(t.MaxShare, &share)
}
