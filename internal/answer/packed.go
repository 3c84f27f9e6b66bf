package answer

import "encoding/binary"

const (
	// startBytes is the size of an event's entry in packed.starts.
	startBytes = 4
	// newTemplateOver is the length of own bytes from which an event becomes
	// the template of those after it.
	newTemplateOver = 64
)

// packed holds events that mostly repeat one another, as the chunks of one
// answer do: of each it keeps what differs from a template, an earlier event.
type packed struct {
	templates [][]byte
	// encoded holds, for each event, the index of its template, the lengths
	// that it shares with the template's start and end, and the bytes between.
	encoded []byte
	// starts are the events' places in encoded.
	starts []uint32
}

// len returns the number of events.
func (p *packed) len() int { return len(p.starts) }

// add appends an event, which it copies, and returns its cost in bytes.
func (p *packed) add(data []byte) int64 {
	cost := int64(0)
	template := p.template()
	prefix, suffix := shared(template, data)
	if template == nil || len(data)-prefix-suffix > newTemplateOver {
		template = append(make([]byte, 0, len(data)), data...)
		p.templates = append(p.templates, template)
		prefix, suffix = len(data), 0
		cost += int64(len(data))
	}
	p.starts = append(p.starts, uint32(len(p.encoded)))
	before := len(p.encoded)
	p.encode(prefix, suffix, data[prefix:len(data)-suffix])
	return cost + int64(len(p.encoded)-before) + startBytes
}

// template returns the template of the next event, nil where there is none.
func (p *packed) template() []byte {
	if len(p.templates) == 0 {
		return nil
	}
	return p.templates[len(p.templates)-1]
}

func (p *packed) encode(prefix, suffix int, own []byte) {
	p.encoded = binary.AppendUvarint(p.encoded, uint64(len(p.templates)-1))
	p.encoded = binary.AppendUvarint(p.encoded, uint64(prefix))
	p.encoded = binary.AppendUvarint(p.encoded, uint64(suffix))
	p.encoded = binary.AppendUvarint(p.encoded, uint64(len(own)))
	p.encoded = append(p.encoded, own...)
}

// after returns copies of the events whose ids are above the id.
func (p *packed) after(id int64) []Event {
	if id >= int64(p.len()) {
		return nil
	}
	events := make([]Event, 0, int64(p.len())-id)
	for i := id; i < int64(p.len()); i++ {
		events = append(events, Event{ID: i + 1, Data: p.decode(p.starts[i])})
	}
	return events
}

// decode returns the event at the place.
func (p *packed) decode(start uint32) []byte {
	rest := p.encoded[start:]
	next := func() int {
		value, n := binary.Uvarint(rest)
		rest = rest[n:]
		return int(value)
	}
	template := p.templates[next()]
	prefix, suffix, own := next(), next(), next()
	data := make([]byte, 0, prefix+own+suffix)
	data = append(data, template[:prefix]...)
	data = append(data, rest[:own]...)
	return append(data, template[len(template)-suffix:]...)
}

// shared returns the lengths of the common start and end of a and b, which do
// not overlap in either.
func shared(a, b []byte) (prefix, suffix int) {
	most := min(len(a), len(b))
	for prefix < most && a[prefix] == b[prefix] {
		prefix++
	}
	for suffix < most-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}
