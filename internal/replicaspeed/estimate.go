package replicaspeed

import (
	"math"
	"time"
)

// Kind is what is observed.
type Kind int

const (
	// Prefill is the time to first token; for a plain service, the answer time.
	Prefill Kind = iota
	// Decode is the time between events.
	Decode
	kinds
)

// String implements fmt.Stringer.
func (k Kind) String() string { return [...]string{"prefill", "decode"}[k] }

// Estimate is the estimated speed of one replica. The zero value is that of a replica of which
// nothing is known.
type Estimate struct {
	own, peers [kinds]Observed
	// overdue is the observations of answers that still wait for their first or next event.
	overdue [kinds]Observed
	// factors and logs are as of the last refresh, logs being the logarithms of the factors;
	// a zero factor counts as 1.
	factors [kinds]float64
	logs    [kinds]float64
	class   Class
	// nextClass is the class that the factors indicate since nextSince.
	nextClass Class
	nextSince time.Time
	// sums are the observations of all nodes, as of the last refresh; peaks are the largest
	// weights lately.
	sums  [kinds]Observed
	peaks [kinds]float64
	// shown is the largest weight of observations so far, of all nodes.
	shown float64
}

// PrefillFactor returns how fast the replica prefills: 1 is the upstream's mean, 2 is twice as fast.
func (e *Estimate) PrefillFactor() float64 { return e.Factor(Prefill) }

// DecodeFactor returns how fast the replica decodes.
func (e *Estimate) DecodeFactor() float64 { return e.Factor(Decode) }

// ServiceFactor returns how fast a replica of a plain service answers.
func (e *Estimate) ServiceFactor() float64 { return e.Factor(Prefill) }

// Class returns the replica's speed class.
func (e *Estimate) Class() Class { return e.class }

// Own returns this node's observations, as of the last refresh.
func (e *Estimate) Own(kind Kind) Observed {
	return e.own[kind].Plus(e.overdue[kind]).BoundedNode()
}

// SetPeers sets the sum of the other nodes' observations.
func (e *Estimate) SetPeers(prefill, decode Observed) {
	e.peers = [kinds]Observed{prefill.Bounded(), decode.Bounded()}
}

// Factor returns how fast the replica is in the kind.
func (e *Estimate) Factor(kind Kind) float64 {
	if e.factors[kind] == 0 {
		return 1
	}
	return e.factors[kind]
}

// vote returns the part of the replica in the mean of its upstream: its mean, with a weight of at
// most 1. A replica with many extreme observations would otherwise become the mean.
func (e *Estimate) vote(kind Kind) Observed {
	o := e.sums[kind]
	return o.scaled(1 / (o.Weight + decodePrior))
}

// add adds an observation.
func (e *Estimate) add(kind Kind, log, weight float64) {
	e.own[kind] = e.own[kind].Plus(Observed{Weight: weight, LogSum: weight * log}).BoundedNode()
}

// addOverdue adds an observation of an answer that still waits.
func (e *Estimate) addOverdue(kind Kind, log, weight float64) {
	e.overdue[kind] = e.overdue[kind].Plus(Observed{Weight: weight, LogSum: weight * log})
}

// decay scales the weights of all observations down, and sums the observations up. Peaks have
// decays of their own.
func (e *Estimate) decay(factors, peakFactors *[kinds]float64) {
	for kind := range kinds {
		e.own[kind] = e.own[kind].scaled(factors[kind])
		e.peers[kind] = e.peers[kind].scaled(factors[kind])
		e.sums[kind] = e.Own(kind).Plus(e.peers[kind])
		e.peaks[kind] = max(e.peaks[kind]*peakFactors[kind], e.sums[kind].Weight)
	}
}

// update computes the factors. origins are the mean logarithms of the upstream.
func (e *Estimate) update(origins [kinds]float64) {
	prefill, decode := e.sums[Prefill], e.sums[Decode]
	e.shown = max(e.shown, prefill.Weight+decode.Weight)
	e.logs[Decode] = e.confidence(Decode, decodePrior) * (decode.mean() - origins[Decode])
	// Times to first token vary much more than times between events, and a replica that decodes
	// slowly usually prefills slowly: the estimate shrinks towards that of decoding.
	confidence := e.confidence(Prefill, prefillPrior)
	e.logs[Prefill] = confidence*(prefill.mean()-origins[Prefill]) + (1-confidence)*e.logs[Decode]
	for kind, log := range e.logs {
		e.logs[kind] = min(max(log, -maxLog), maxLog)
		e.factors[kind] = math.Exp(e.logs[kind])
	}
}

// confidence returns the part of the mean logarithm that is believed. It falls with the weight, and
// faster when the weight has fallen far below its peak: what many answers have shown would
// otherwise hold for long after the last one, and a replica that is fast again would get no work.
func (e *Estimate) confidence(kind Kind, prior float64) float64 {
	weight := e.sums[kind].Weight
	if weight <= 0 {
		return 0
	}
	fallen := peakFraction * e.peaks[kind] / weight
	return weight / (weight + prior) / (1 + fallen*fallen)
}

// updateClass changes the class if the factors have indicated another one for classDwell. It
// reports whether it did.
func (e *Estimate) updateClass(now time.Time) bool {
	indicated := e.class.next(min(e.Factor(Prefill), e.Factor(Decode)))
	if indicated == e.class {
		e.nextClass = indicated
		return false
	}
	if indicated != e.nextClass {
		e.nextClass, e.nextSince = indicated, now
	}
	if now.Sub(e.nextSince) < classDwell {
		return false
	}
	e.class = indicated
	return true
}

const (
	// classDwell is the time for which another class must be indicated: replicas that stall for
	// half a second do not change it.
	classDwell = time.Second
	// peakFraction is the part of the peak at which half is believed.
	peakFraction = 0.15
	// prefillPrior and decodePrior are the weights with which an estimate shrinks.
	prefillPrior = 4.0
	decodePrior  = 1.0
)

// New reports whether the replica has shown too little for an estimate.
func (e *Estimate) New() bool { return e.shown < shownWeight }

// Shown returns how much the replica has shown, from 0 to 1.
func (e *Estimate) Shown() float64 { return min(e.shown/shownWeight, 1) }
