package replicaconn

import (
	"errors"
	"io"

	"galenatrestle/internal/httphead"
	"galenatrestle/internal/httplimits"
)

// ErrHeadTooLong means that a response's head did not end within its size limit.
var ErrHeadTooLong = errors.New("head of the replica's response is too long")

// headReader reads from a connection. Between begin and end it returns at most
// httplimits.HeadBytes, then ErrHeadTooLong: the parser of response heads has no limit of
// its own.
type headReader struct {
	conn      io.Reader
	limited   bool
	remaining int
	// folding looks at the lines of the head that is being read.
	folding httphead.Folding
	// exceeded is set once more than the limit was asked for. The parser may take what it has then
	// for a line, and drop the error.
	exceeded bool
}

func (r *headReader) begin() {
	r.limited, r.remaining, r.exceeded = true, httplimits.HeadBytes, false
}

// next begins a head of which some bytes have been read already.
func (r *headReader) next(buffered []byte) {
	r.folding = httphead.Folding{}
	r.folding.Add(buffered)
}

func (r *headReader) end() { r.limited = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.conn.Read(p)
	}
	if r.remaining <= 0 {
		r.exceeded = true
		return 0, ErrHeadTooLong
	}
	n, err := r.conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.folding.Add(p[:n])
	return n, err
}

// maxErrorText bounds in bytes the text of a parser's error, which quotes what the replica sent.
const maxErrorText = 200

// parseError returns the error of reading a head, also if the parser has none.
func (r *headReader) parseError(err error) error {
	switch {
	case r.exceeded:
		return ErrHeadTooLong
	case err != nil && len(err.Error()) > maxErrorText:
		return errors.New(err.Error()[:maxErrorText] + "...")
	case err != nil:
		return err
	default:
		return r.folding.Err()
	}
}
