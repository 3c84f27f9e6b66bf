package credit

import (
	"time"

	creditv1 "galenatrestle/internal/gen/trestle/credit/v1"
)

func asksToWire(asks []Ask) []*creditv1.Ask {
	wire := make([]*creditv1.Ask, len(asks))
	for i, a := range asks {
		wire[i] = &creditv1.Ask{
			Replica:     a.Replica,
			Limit:       uint32(a.Limit),
			Used:        uint32(a.Used),
			Want:        uint32(a.Want),
			Extra:       uint32(a.Extra),
			Waiting:     a.Waiting,
			Tier:        uint32(a.Tier),
			SlackMillis: a.Slack.Milliseconds(),
		}
	}
	return wire
}

func asksFromWire(wire []*creditv1.Ask) []Ask {
	asks := make([]Ask, len(wire))
	for i, a := range wire {
		asks[i] = Ask{
			Replica: a.GetReplica(),
			Limit:   int(a.GetLimit()),
			Used:    int(a.GetUsed()),
			Want:    int(a.GetWant()),
			Extra:   int(a.GetExtra()),
			Waiting: a.GetWaiting(),
			Tier:    int(a.GetTier()),
			Slack:   time.Duration(a.GetSlackMillis()) * time.Millisecond,
		}
	}
	return asks
}

func grantsToWire(grants []Grant) []*creditv1.Grant {
	wire := make([]*creditv1.Grant, len(grants))
	for i, g := range grants {
		wire[i] = &creditv1.Grant{
			Replica:   g.Replica,
			Slots:     uint32(g.Slots),
			ForMillis: uint32(g.For.Milliseconds()),
		}
	}
	return wire
}

func grantsFromWire(wire []*creditv1.Grant) []Grant {
	grants := make([]Grant, len(wire))
	for i, g := range wire {
		grants[i] = Grant{
			Replica: g.GetReplica(),
			Slots:   int(g.GetSlots()),
			For:     time.Duration(g.GetForMillis()) * time.Millisecond,
		}
	}
	return grants
}
