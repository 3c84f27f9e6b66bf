package handover

import (
	"context"
	"fmt"
	"sync/atomic"

	"connectrpc.com/connect"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/gen/trestle/handover/v1/handoverv1connect"
)

// Counterparts delivers messages to other data centres' systems over connect.
// Each data centre has a list of addresses; after a failure the next is tried
// with the next message. It is safe for concurrent use.
type Counterparts struct {
	dialer    Dialer
	addresses map[string][]string
	next      atomic.Uint64
}

// NewCounterparts returns Counterparts for peer addresses by data centre. The
// dialer carries the keys of the links.
func NewCounterparts(dialer Dialer, addresses map[string][]string) *Counterparts {
	return &Counterparts{dialer: dialer, addresses: addresses}
}

// Deliver implements Counterpart.
func (c *Counterparts) Deliver(ctx context.Context, dataCentre string, m Message) (Receipt, error) {
	list := c.addresses[dataCentre]
	if len(list) == 0 {
		return Receipt{}, fmt.Errorf("handover: data centre %q has no address in the settings", dataCentre)
	}
	address := list[c.next.Load()%uint64(len(list))]
	httpClient, baseURL := c.dialer.Dial(address)
	client := handoverv1connect.NewHandoverServiceClient(httpClient, baseURL)
	response, err := client.Deliver(ctx, connect.NewRequest(toWire(m)))
	if err != nil {
		c.next.Add(1)
		return Receipt{}, errs.Wrap(errs.Peer, err, "deliver "+string(m.Kind), address)
	}
	got := response.Msg
	return Receipt{Accepted: got.GetAccepted(), Reason: got.GetReason(), Phase: Phase(got.GetPhase())}, nil
}
