package explain

import "unsafe"

// Claimed is the ledger's verdict on an unrepeatable call.
type Claimed struct {
	Verdict string
}

// claimReasons tells what a verdict means for the call.
var claimReasons = map[string]string{
	"run":         "the claim is durable: the call is sent once",
	"recorded":    "the call ran before: its recorded answer is given again",
	"in_progress": "the one run has not ended",
	"unknown":     "the one run may have taken effect: it is never run again",
}

func (e *Claimed) line() Line {
	return Line{Step: "claim", Decision: e.Verdict, Reason: claimReasons[e.Verdict]}
}

func (e *Claimed) size() int { return int(unsafe.Sizeof(*e)) + len(e.Verdict) }
