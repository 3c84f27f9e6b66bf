package gateway

import "galenatrestle/internal/refusal"

// end labels the counter of requests by how they ended.
type end string

// The ends of a request whose key, class and headers were in order.
const (
	endOnTarget end = "on_target"
	endLate     end = "late"
	// endRefused got no whole answer, for no fault of its caller.
	endRefused end = "refused"
	// endRejected were at fault themselves.
	endRejected  end = "rejected"
	endOverQuota end = "over_quota"
	endGone      end = "caller_gone"
	endRelayed   end = "relayed"
)

// refusalEnds holds the reasons whose end is not endRefused.
var refusalEnds = map[refusal.Reason]end{
	refusal.BadRequest: endRejected, refusal.BodyTooLarge: endRejected,
	refusal.UnknownModel: endRejected, refusal.UnknownUpstream: endRejected,
	refusal.UpstreamForbidden: endRejected, refusal.IdempotencyKeyRequired: endRejected,
	refusal.IdempotencyKeyReused: endRejected,
	refusal.QuotaExceeded:        endOverQuota, refusal.CallerGone: endGone,
}

func endOf(reason refusal.Reason) end {
	if known, ok := refusalEnds[reason]; ok {
		return known
	}
	return endRefused
}
