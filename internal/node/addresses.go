package node

// Name returns the VM's name.
func (n *Node) Name() string { return n.options.Name }

// AvailabilityZone returns the VM's availability zone.
func (n *Node) AvailabilityZone() string { return n.options.AvailabilityZone }

// EntryAddress returns where callers connect.
func (n *Node) EntryAddress() string { return n.options.EntryAddress }

// OpsAddress returns where operators connect, empty without such a listener.
func (n *Node) OpsAddress() string {
	if n.options.Ops == nil {
		return ""
	}
	return n.options.Ops.Addr().String()
}
