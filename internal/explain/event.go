package explain

// Event is one thing that happened to a request. The types of this package are
// the closed list.
type Event interface {
	// line tells the event in words; At is left to the timeline.
	line() Line
	// size is what the event is accounted for, in bytes.
	size() int
}

// last says that the event ends its timeline. It is kept also by a full timeline.
func last(event Event) bool {
	switch event.(type) {
	case *Refused, *Answered, *Relayed:
		return true
	}
	return false
}
