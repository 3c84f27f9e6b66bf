package replicaconn

// throughNode is implemented by connections that go through another node.
type throughNode interface {
	// Via returns the node's name.
	Via() string
	// OpenAndEmpty reports whether the connection is open and has no unread data.
	OpenAndEmpty() bool
}
