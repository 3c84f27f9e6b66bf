package engine

import (
	"slices"

	"galenatrestle/internal/openai"
)

// maxAppliedOrders bounds the list of orders that took effect.
const maxAppliedOrders = 100

// roleBoth is the role of an engine that reads prompts and answers them.
const roleBoth = "both"

// orderBook is the desired state as orders left it. The engine's lock guards
// it.
type orderBook struct {
	honoursFencing bool
	state          openai.OrderState
}

func newOrderBook(opts Options) *orderBook {
	book := &orderBook{honoursFencing: opts.HonoursFencing}
	book.state.Role = roleBoth
	for _, name := range append([]string{opts.Model}, opts.Models...) {
		book.state.Models = append(book.state.Models, openai.LoadedModel{Name: name})
	}
	return book
}

// apply takes an order; it returns false where its epoch is old and the engine
// honours fencing.
func (b *orderBook) apply(order openai.Order) bool {
	if b.honoursFencing && order.Epoch < b.state.Epoch {
		return false
	}
	b.state.Epoch = max(b.state.Epoch, order.Epoch)
	switch order.Kind {
	case openai.OrderLoad:
		b.remove(order.Model)
		loaded := openai.LoadedModel{Name: order.Model, Version: order.Version}
		b.state.Models = append(b.state.Models, loaded)
	case openai.OrderUnload:
		b.remove(order.Model)
	case openai.OrderRole:
		b.state.Role = order.Role
	}
	if len(b.state.Applied) == maxAppliedOrders {
		b.state.Applied = b.state.Applied[1:]
	}
	b.state.Applied = append(b.state.Applied, order)
	return true
}

// snapshot returns a copy of the state.
func (b *orderBook) snapshot() openai.OrderState {
	state := b.state
	state.Models = slices.Clone(state.Models)
	state.Applied = append([]openai.Order{}, state.Applied...)
	return state
}

func (b *orderBook) models() []string {
	names := make([]string, 0, len(b.state.Models))
	for _, m := range b.state.Models {
		names = append(names, m.Name)
	}
	return names
}

func (b *orderBook) serves(model string) bool {
	return slices.ContainsFunc(b.state.Models, func(m openai.LoadedModel) bool { return m.Name == model })
}

func (b *orderBook) remove(model string) {
	b.state.Models = slices.DeleteFunc(b.state.Models, func(m openai.LoadedModel) bool { return m.Name == model })
}
