package answer

// State says how far an answer has come.
type State string

// The states. All but Running are final.
const (
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)
