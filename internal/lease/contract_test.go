package lease_test

import (
	"galenatrestle/internal/claim"
	"galenatrestle/internal/lease"
	"galenatrestle/internal/order"
)

// Checks at compile time that the types fit the interfaces of their users.
var (
	_ claim.Term     = (*lease.Term)(nil)
	_ lease.Observer = (*order.Sender)(nil)
)
