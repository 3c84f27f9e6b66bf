package httphead

// Folding looks for a line of a head that begins with a blank or a tab. The parser appends such a line to the field
// before it, whatever it was meant to be. The zero value is ready for the first byte of a head.
type Folding struct {
	// lineLength is the length of the line so far; ended is set behind the head.
	lineLength  int
	ended, seen bool
}

// Add takes in the next bytes of a connection. Those behind the head are ignored.
func (f *Folding) Add(data []byte) {
	for _, b := range data {
		switch {
		case f.ended:
			return
		case b == '\n':
			f.ended = f.lineLength == 0
			f.lineLength = 0
		case b == '\r':
		default:
			f.seen = f.seen || f.lineLength == 0 && (b == ' ' || b == '\t')
			f.lineLength++
		}
	}
}

// Err returns an *Error if there was such a line.
func (f *Folding) Err() error {
	if f.seen {
		return &Error{Part: "line", Value: "begins with a blank"}
	}
	return nil
}
