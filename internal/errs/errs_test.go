package errs

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
)

type inputError struct{ field string }

func (e *inputError) Error() string { return e.field }

func TestWrapKeepsTheCauseVisible(t *testing.T) {
	cause := fmt.Errorf("%w: %w", context.DeadlineExceeded, &inputError{field: "tier"})
	err := Wrap(Peer, Wrap(Platform, cause, "inner", "store"), "outer", "127.0.0.1:1")
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Error("errors.Is does not find the cause")
	}
	var input *inputError
	if !errors.As(err, &input) || input.field != "tier" {
		t.Error("errors.As does not find the cause")
	}
	var typed *errorx.Error
	if !errors.As(err, &typed) || !typed.IsOfType(Peer) {
		t.Fatalf("errors.As found %v, want the outermost typed error", typed)
	}
	if peer, _ := typed.Property(PropertyPeer); peer != "127.0.0.1:1" {
		t.Errorf("peer is %v", peer)
	}
	for _, part := range []string{"outer", "inner", "127.0.0.1:1", "tier"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("%q does not name %q", err, part)
		}
	}
}

func TestWrapOfNilIsNil(t *testing.T) {
	if err := Wrap(Peer, nil, "step", "peer"); err != nil {
		t.Errorf("got %v", err)
	}
}
