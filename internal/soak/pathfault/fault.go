package pathfault

// Fault is what befalls a process's connections to replicas.
type Fault string

// Faults. With each of them new connections fail.
const (
	// None lets all through.
	None Fault = ""
	// Hang drops all packets: nothing arrives on open connections, and new ones time out.
	Hang Fault = "hang"
	// Reset resets the open connections and refuses new ones.
	Reset Fault = "reset"
	// LiveOn refuses new connections and leaves the open ones alone.
	LiveOn Fault = "live_on"
)

// Faults are all but None.
var Faults = []Fault{Hang, Reset, LiveOn}

// FileVariable is the environment variable with the path of the file that holds the fault.
const FileVariable = "TRESTLE_SOAK_PATH_FAULT"
