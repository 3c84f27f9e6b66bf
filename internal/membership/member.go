package membership

// State is what a node believes of a member.
type State string

// The states of a member.
const (
	// StateServing members take requests and duties.
	StateServing State = "serving"
	// StateSuspect members missed heartbeats; they keep what they own for now.
	StateSuspect State = "suspect"
	// StateLeaving members finish what they have and take nothing new.
	StateLeaving State = "leaving"
	// StateDead members are gone.
	StateDead State = "dead"
)

// Member is one node of the system as seen by another.
type Member struct {
	// Name is the VM's name, unique in the deployment.
	Name string
	// EntryAddress is where callers connect.
	EntryAddress string
	// PeerAddress is where nodes connect.
	PeerAddress      string
	AvailabilityZone string
	Region           string
	// Incarnation grows each time the VM starts or refutes a suspicion.
	Incarnation int64
	State       State
	// ConfigRevision is the configuration revision in force there.
	ConfigRevision int64
	// Load is the part of its slots in use, 0 to 1 and above when queueing.
	Load float64
}

// View is the picture other packages read.
type View interface {
	// Self returns this node's own member.
	Self() Member
	// Members returns all members that are not dead, self included, ordered
	// by name.
	Members() []Member
	// Owner returns the serving member that owns the key by rendezvous hash.
	Owner(key string) Member
}

// PeerAddress is the peer address of the member with the name; empty where the
// view has none.
func PeerAddress(view View, name string) string {
	for _, m := range view.Members() {
		if m.Name == name {
			return m.PeerAddress
		}
	}
	return ""
}
