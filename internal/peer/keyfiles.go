package peer

// NodeName is the DNS name that every node's certificate carries. Nodes talk
// by IP number and are replaced at any time, so that a certificate proves the
// role of a node and not its address.
const NodeName = "node.trestle"

// KeyFiles names the PEM files of a node's key. The zero value means no keys:
// the link is then plain HTTP/2, for development alone.
type KeyFiles struct {
	// Certificate is the node's certificate chain, leaf first.
	Certificate string
	// Key is the private key of the leaf.
	Key string
	// Authorities holds the certificates of the authorities trusted to sign
	// nodes' certificates; during a replacement it holds the old and the new.
	Authorities string
}

// Empty reports whether no file is named.
func (f KeyFiles) Empty() bool { return f == KeyFiles{} }
