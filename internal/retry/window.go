package retry

import "time"

const (
	// windowCells of cellSpan each are the time over which retries are
	// weighed against successes.
	windowCells = 10
	cellSpan    = time.Second
)

// cell counts what happened within one cellSpan.
type cell struct {
	// index is the cell's number since the epoch of Unix time.
	index     int64
	successes int32
	// spent counts attempts added at the budget's expense, free those added
	// within the allowance for attempts that did not run.
	spent int32
	free  int32
}

// window counts over the last windowCells cells.
type window struct {
	cells [windowCells]cell
}

// at returns the cell of now, emptied if it held an older time.
func (w *window) at(now time.Time) *cell {
	index := now.UnixNano() / int64(cellSpan)
	c := &w.cells[index%windowCells]
	if c.index < index {
		*c = cell{index: index}
	}
	return c
}

// sum adds up the cells that are not older than the window.
func (w *window) sum(now time.Time) cell {
	var total cell
	newest := now.UnixNano() / int64(cellSpan)
	for _, c := range w.cells {
		if c.index <= newest-windowCells || c.index > newest {
			continue
		}
		total.successes += c.successes
		total.spent += c.spent
		total.free += c.free
	}
	return total
}
