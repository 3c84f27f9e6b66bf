package replicaspeed

import "math"

// Kind is what is observed.
type Kind int

const (
	// Prefill is the time to first token; for a plain service, the answer time.
	Prefill Kind = iota
	// Decode is the time between events.
	Decode
	kinds
)

// Estimate is the estimated speed of one replica. The zero value is that of a replica of which
// nothing is known.
type Estimate struct {
	own, peers [kinds]Observed
	// factors and logs are as of the last refresh, logs being the logarithms of the factors;
	// a zero factor counts as 1.
	factors [kinds]float64
	logs    [kinds]float64
	class   Class
	// shown is the largest weight of observations so far, of all nodes.
	shown float64
}

// PrefillFactor returns how fast the replica prefills: 1 is the upstream's mean, 2 is twice as fast.
func (e *Estimate) PrefillFactor() float64 { return e.factor(Prefill) }

// DecodeFactor returns how fast the replica decodes.
func (e *Estimate) DecodeFactor() float64 { return e.factor(Decode) }

// ServiceFactor returns how fast a replica of a plain service answers.
func (e *Estimate) ServiceFactor() float64 { return e.factor(Prefill) }

// Class returns the replica's speed class.
func (e *Estimate) Class() Class { return e.class }

// Own returns this node's observations, as of the last refresh.
func (e *Estimate) Own(kind Kind) Observed { return e.own[kind] }

// SetPeers sets the sum of the other nodes' observations.
func (e *Estimate) SetPeers(prefill, decode Observed) {
	e.peers = [kinds]Observed{prefill.Bounded(), decode.Bounded()}
}

func (e *Estimate) factor(kind Kind) float64 {
	if e.factors[kind] == 0 {
		return 1
	}
	return e.factors[kind]
}

// all returns the observations of all nodes.
func (e *Estimate) all(kind Kind) Observed { return e.own[kind].Plus(e.peers[kind]) }

// add adds an observation.
func (e *Estimate) add(kind Kind, log, weight float64) {
	e.own[kind] = e.own[kind].Plus(Observed{Weight: weight, LogSum: weight * log}).BoundedNode()
}

// decay scales the weights of all observations down.
func (e *Estimate) decay(factor float64) {
	for kind := range kinds {
		e.own[kind] = e.own[kind].scaled(factor)
		e.peers[kind] = e.peers[kind].scaled(factor)
	}
}

// update computes the factors. origins are the mean logarithms of the upstream.
func (e *Estimate) update(origins [kinds]float64) {
	prefill, decode := e.all(Prefill), e.all(Decode)
	e.shown = max(e.shown, prefill.Weight+decode.Weight)
	e.logs[Decode] = (decode.LogSum - decode.Weight*origins[Decode]) / (decode.Weight + decodePrior)
	// Times to first token vary much more than times between events, and a replica that decodes
	// slowly usually prefills slowly: the estimate shrinks towards that of decoding.
	e.logs[Prefill] = (prefill.LogSum - prefill.Weight*origins[Prefill] + prefillPrior*e.logs[Decode]) / (prefill.Weight + prefillPrior)
	for kind, log := range e.logs {
		e.logs[kind] = min(max(log, -maxLog), maxLog)
		e.factors[kind] = math.Exp(e.logs[kind])
	}
}

const (
	// prefillPrior and decodePrior are the weights with which an estimate shrinks.
	prefillPrior = 4.0
	decodePrior  = 1.0
)

// New reports whether the replica has shown too little for an estimate.
func (e *Estimate) New() bool { return e.shown < shownWeight }

// Shown returns how much the replica has shown, from 0 to 1.
func (e *Estimate) Shown() float64 { return min(e.shown/shownWeight, 1) }
