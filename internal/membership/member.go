package membership

// State is a member's state as seen by one node.
type State string

// The states of a member.
const (
	// StateServing members take requests and own keys.
	StateServing State = "serving"
	// StateSuspect members did not respond to probes, but keep the keys they own.
	StateSuspect State = "suspect"
	// StateLeaving members finish their work and take no new work.
	StateLeaving State = "leaving"
	// StateDead members did not refute a suspicion in time.
	StateDead State = "dead"
)

// Member is one node of the system as seen by another.
type Member struct {
	// Name is the VM's name, unique in the deployment.
	Name string
	// EntryAddress is the address for clients.
	EntryAddress string
	// PeerAddress is the address for other nodes.
	PeerAddress      string
	AvailabilityZone string
	Region           string
	// Incarnation increases with each start, refutation or change of leaving.
	Incarnation int64
	State       State
	// ConfigRevision is the revision of the active configuration.
	ConfigRevision int64
	// Load is the fraction of slots in use, above 1 when requests are queued.
	Load float64
}

// View is the read-only interface to the membership.
type View interface {
	// Self returns this node's own member.
	Self() Member
	// Members returns all members that are not dead, self included, ordered
	// by name.
	Members() []Member
	// Owner returns the member that owns the key by rendezvous hash. Members that
	// are leaving or dead own none.
	Owner(key string) Member
}

// PeerAddress returns the named member's peer address, or an empty string.
func PeerAddress(view View, name string) string {
	for _, m := range view.Members() {
		if m.Name == name {
			return m.PeerAddress
		}
	}
	return ""
}
