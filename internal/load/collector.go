package load

import (
	"sync"
	"time"
)

// Collector gathers the results of a run. It is safe for concurrent use.
type Collector struct {
	workload *Workload
	started  time.Time

	mu      sync.Mutex
	classes map[string]*classCount
	results []*Result
	open    int
	wanted  int
	late    time.Duration
}

// NewCollector returns a collector for a run that starts now.
func NewCollector(w *Workload) *Collector {
	c := &Collector{workload: w, started: time.Now(), classes: make(map[string]*classCount)}
	for _, class := range w.Classes {
		c.classes[class.Name] = newClassCount(class)
	}
	return c
}

func (c *Collector) offered(request *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
	c.wanted += wanted(c.workload, *request)
	c.classes[request.Stream.Class].offered++
}

func (c *Collector) ended(result *Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	c.late = max(c.late, result.Late)
	c.results = append(c.results, result)
	c.classes[result.Request.Stream.Class].add(result)
}

// Progress is the state of a run while it goes on.
type Progress struct {
	Elapsed  time.Duration
	Offered  int
	Answered int
	OnTarget int
	Open     int
}

// Progress returns the state now.
func (c *Collector) Progress() Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Progress{Elapsed: time.Since(c.started), Open: c.open}
	for _, class := range c.classes {
		p.Offered += class.offered
		p.Answered += class.answered
		p.OnTarget += class.onTarget
	}
	return p
}

// Results returns all results so far, in the order in which they ended.
func (c *Collector) Results() []*Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Result{}, c.results...)
}
