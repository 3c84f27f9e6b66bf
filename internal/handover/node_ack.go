package handover

// nodeAck is what the source's driver knows of one node of its own side.
type nodeAck struct {
	Name    string
	Armed   bool
	Stopped bool
	// Dead nodes have been declared dead: they block neither seal nor open.
	Dead bool
}
