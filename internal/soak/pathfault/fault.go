package pathfault

// Fault is what befalls a process's connections to replicas.
type Fault string

// Faults.
const (
	// None lets all through.
	None Fault = ""
	// Hang drops all packets: nothing arrives on open connections, and new ones time out.
	Hang Fault = "hang"
	// Reset resets the open connections and refuses new ones.
	Reset Fault = "reset"
	// LiveOn refuses new connections and leaves the open ones alone.
	LiveOn Fault = "live_on"
	// Mute accepts new connections, and nothing arrives on any.
	Mute Fault = "mute"
	// ResetSent accepts new connections, and resets each when something is sent on it.
	ResetSent Fault = "reset_sent"
)

// Faults are those with which new connections fail, AcceptingFaults those with which they are accepted.
var (
	Faults          = []Fault{Hang, Reset, LiveOn}
	AcceptingFaults = []Fault{Mute, ResetSent}
)

// FileVariable is the environment variable with the path of the file that holds the fault.
const FileVariable = "TRESTLE_SOAK_PATH_FAULT"
