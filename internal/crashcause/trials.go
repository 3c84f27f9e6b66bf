package crashcause

import "sync"

// Trials are the causes of which a call of this node runs as a trial. It is safe for concurrent use.
type Trials struct {
	mu     sync.Mutex
	causes map[Factor]bool
}

// Begin reports whether no other call runs as a trial of the cause, and reserves that until End.
func (t *Trials) Begin(cause Factor) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.causes[cause] {
		return false
	}
	if t.causes == nil {
		t.causes = make(map[Factor]bool)
	}
	t.causes[cause] = true
	return true
}

// End ends the trial of the cause.
func (t *Trials) End(cause Factor) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.causes, cause)
}

// Among returns that of the factors of which a call runs as a trial; zero: there is none.
func (t *Trials) Among(factors []Factor) Factor {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range factors {
		if t.causes[f] {
			return f
		}
	}
	return 0
}
