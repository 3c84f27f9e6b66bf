package quotashare

import "time"

const (
	// callBytes is what one call takes beyond its reports, there and back, as
	// measured for calls between nodes; reportBytes is a report and its grant.
	callBytes   = 330
	reportBytes = 16
	// paceBurst is how many seconds' bytes may be sent at once.
	paceBurst = 8
)

// pace bounds the bytes that a node sends. It may be in debt.
type pace struct {
	rate  float64
	level float64
	at    time.Time
}

// ready says whether a message may go now.
func (p *pace) ready(now time.Time) bool {
	if p.at.IsZero() {
		p.at, p.level = now, p.rate*paceBurst
	}
	if elapsed := now.Sub(p.at); elapsed > 0 {
		p.level = min(p.level+p.rate*elapsed.Seconds(), p.rate*paceBurst)
		p.at = now
	}
	return p.level > 0
}

func (p *pace) spend(reports int) {
	p.level -= callBytes + reportBytes*float64(reports)
}
