package intent

import "fmt"

// Kind names what an operator wants.
type Kind string

// The kinds of intent.
const (
	KindApplyConfig    Kind = "apply-config"
	KindDrainVM        Kind = "drain-vm"
	KindDrainReplica   Kind = "drain-replica"
	KindMoveUpstream   Kind = "move-upstream"
	KindMoveWorkspaces Kind = "move-workspaces"
	KindLoad           Kind = "load"
	KindUnload         Kind = "unload"
	KindChangeRole     Kind = "change-role"
	// KindDeclareDead is an operator's word that an entry VM runs no more.
	KindDeclareDead Kind = "declare-vm-dead"
)

// Intent is what an operator wants; the fields that its kind does not name are
// empty.
type Intent struct {
	Kind Kind `json:"kind"`
	// Config is the YAML document of an apply-config.
	Config string `json:"config,omitempty"`
	// VM is the entry VM of a drain-vm or a declare-vm-dead.
	VM string `json:"vm,omitempty"`
	// Upstream is named by all kinds but apply-config, drain-vm and
	// move-workspaces.
	Upstream string `json:"upstream,omitempty"`
	// Replica is the one to drain or order; empty for a load, an unload or a
	// change of role means all replicas of the upstream.
	Replica string `json:"replica,omitempty"`
	// Workspaces to move.
	Workspaces []string `json:"workspaces,omitempty"`
	// DataCentre is the target of a move.
	DataCentre string `json:"data_centre,omitempty"`
	// Model (or adapter) and Version name what to load or unload.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// Role is the engine's role to change to: "both", "prefill" or "decode".
	Role string `json:"role,omitempty"`
}

// FieldError names the field of an intent that is wrong, and its value.
type FieldError struct {
	Field   string
	Value   string
	Message string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("intent: field %s value %q: %s", e.Field, e.Value, e.Message)
}

// Check returns a *FieldError for the first field that its kind needs and that
// is missing or not one of the known values.
func (i Intent) Check() error {
	switch i.Kind {
	case KindApplyConfig:
		return required("config", i.Config)
	case KindDrainVM, KindDeclareDead:
		return required("vm", i.VM)
	case KindDrainReplica:
		return firstError(required("upstream", i.Upstream), required("replica", i.Replica))
	case KindMoveUpstream:
		return firstError(required("upstream", i.Upstream), required("data_centre", i.DataCentre))
	case KindMoveWorkspaces:
		return firstError(i.checkWorkspaces(), required("data_centre", i.DataCentre))
	case KindLoad, KindUnload:
		return firstError(required("upstream", i.Upstream), required("model", i.Model))
	case KindChangeRole:
		return firstError(required("upstream", i.Upstream), i.checkRole())
	}
	return &FieldError{Field: "kind", Value: string(i.Kind), Message: "is not a kind of intent"}
}

// Summary says in one line what the intent asks for.
func (i Intent) Summary() string {
	switch i.Kind {
	case KindApplyConfig:
		return fmt.Sprintf("apply a configuration of %d bytes", len(i.Config))
	case KindDrainVM:
		return "drain VM " + i.VM
	case KindDeclareDead:
		return "declare VM " + i.VM + " dead"
	case KindDrainReplica:
		return fmt.Sprintf("drain replica %s of upstream %s", i.Replica, i.Upstream)
	case KindMoveUpstream:
		return fmt.Sprintf("move upstream %s to data centre %s", i.Upstream, i.DataCentre)
	case KindMoveWorkspaces:
		return fmt.Sprintf("move workspaces %v to data centre %s", i.Workspaces, i.DataCentre)
	case KindChangeRole:
		return fmt.Sprintf("change role of upstream %s %s to %s", i.Upstream, i.Replica, i.Role)
	}
	return fmt.Sprintf("%s %s %s on upstream %s %s", i.Kind, i.Model, i.Version, i.Upstream, i.Replica)
}

// Outcome says what an operator may do once the plan is done, where that needs
// words.
func (i Intent) Outcome() string {
	switch i.Kind {
	case KindDrainVM:
		return "VM " + i.VM + " has no work left: it may be stopped"
	case KindDrainReplica:
		return "replica " + i.Replica + " has no work left: it may be stopped"
	}
	return ""
}

func (i Intent) checkWorkspaces() error {
	if len(i.Workspaces) == 0 {
		return required("workspaces", "")
	}
	return nil
}

func (i Intent) checkRole() error {
	switch i.Role {
	case "both", "prefill", "decode":
		return nil
	}
	return &FieldError{Field: "role", Value: i.Role, Message: "is not one of both, prefill, decode"}
}

func required(field, value string) error {
	if value != "" {
		return nil
	}
	return &FieldError{Field: field, Message: "is required"}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
