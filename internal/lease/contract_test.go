package lease_test

import (
	"galenatrestle/internal/claim"
	"galenatrestle/internal/lease"
	"galenatrestle/internal/order"
)

// What holds duties elsewhere fits what this package gives.
var (
	_ claim.Term     = (*lease.Term)(nil)
	_ lease.Observer = (*order.Sender)(nil)
)
