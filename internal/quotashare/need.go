package quotashare

// Need is what callers ask of one workspace's quota at this node.
type Need struct {
	Workspace string
	// Owner is the name of the node that owns the workspace.
	Owner string
	// Demand is the part of the quota asked for, from 0.
	Demand float64
}
