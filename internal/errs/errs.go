package errs

import "github.com/joomcode/errorx"

// Namespace is the root of all error types of the project.
var Namespace = errorx.NewNamespace("trestle")

// The error types by the side at fault.
var (
	// Platform errors arise in calls to the platform's service.
	Platform = Namespace.NewType("platform")
	// Upstream errors arise in calls to an engine or a plain service.
	Upstream = Namespace.NewType("upstream")
	// Peer errors arise in calls between nodes.
	Peer = Namespace.NewType("peer")
	// Settings errors arise from settings or configuration documents.
	Settings = Namespace.NewType("settings")
	// Operator errors arise from operators' requests.
	Operator = Namespace.NewType("operator")
)

// Properties carried by the errors.
var (
	// PropertyStep names the step, such as "claim" or "renew".
	PropertyStep = errorx.RegisterPrintableProperty("step")
	// PropertyPeer is the other side's address or name.
	PropertyPeer = errorx.RegisterPrintableProperty("peer")
)

// Wrap decorates err with the step and the peer at which it arose.
// It returns nil for a nil err. errors.Is and errors.As find the cause, and
// errors.As finds the outermost *errorx.Error.
func Wrap(t *errorx.Type, err error, step, peer string) error {
	if err == nil {
		return nil
	}
	typed := t.Wrap(err, "%s", step).
		WithProperty(PropertyStep, step).
		WithProperty(PropertyPeer, peer)
	return &wrapped{typed: typed, cause: err}
}
