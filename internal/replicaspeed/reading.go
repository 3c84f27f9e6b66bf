package replicaspeed

// Reading is an estimate with its inputs, for logs and metrics.
type Reading struct {
	Class         Class
	PrefillFactor float64
	DecodeFactor  float64
	// The weights are those of the observations of this node, and of all nodes.
	OwnPrefillWeight, PrefillWeight float64
	OwnDecodeWeight, DecodeWeight   float64
}

// Reading returns the estimate as of the last refresh.
func (e *Estimate) Reading() Reading {
	return Reading{
		Class: e.class, PrefillFactor: e.PrefillFactor(), DecodeFactor: e.DecodeFactor(),
		OwnPrefillWeight: e.Own(Prefill).Weight, PrefillWeight: e.sums[Prefill].Weight,
		OwnDecodeWeight: e.Own(Decode).Weight, DecodeWeight: e.sums[Decode].Weight,
	}
}
