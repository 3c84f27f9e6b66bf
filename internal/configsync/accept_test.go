package configsync

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

func TestOfTwoOperatorsOneWins(t *testing.T) {
	bubble(t, 2, func(t *testing.T, c *cluster) {
		base := c.nodes[0].accept(1)
		first, err := c.nodes[0].Propose(t.Context(), Request{Document: document(t, 2), Author: "erzsi", Base: base.Revision})
		if err != nil {
			t.Fatal(err)
		}
		second, err := c.nodes[1].Propose(t.Context(), Request{Document: document(t, 3), Author: "bela", Base: base.Revision})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.nodes[1].Confirm(t.Context(), second.Record.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		_, err = c.nodes[0].Confirm(t.Context(), first.Record.ID)
		var stale *StaleError
		if !errors.As(err, &stale) {
			t.Fatalf("got %v", err)
		}
		for _, part := range []string{"bela", "revision 2", "changed workspace w"} {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%q does not name %q", err, part)
			}
		}
		_, err = c.nodes[0].Propose(t.Context(), Request{Document: document(t, 4), Author: "erzsi", Base: base.Revision})
		if !errors.As(err, &stale) {
			t.Errorf("proposal on an old base: got %v", err)
		}
		if _, err := c.nodes[0].Abandon(t.Context(), second.Record.ID); !errors.As(err, new(*AcceptedError)) {
			t.Errorf("abandoning an accepted one: got %v", err)
		}
	})
}

// TestConcurrentAcceptances checks that each revision has one document and each
// acceptance that was told is in the history.
func TestConcurrentAcceptances(t *testing.T) {
	bubble(t, 4, func(t *testing.T, c *cluster) {
		var mu sync.Mutex
		told := make(map[int64]string)
		var wg sync.WaitGroup
		for i, n := range c.nodes {
			wg.Go(func() {
				for weight := range 10 {
					record, err := n.Accept(t.Context(), Request{Document: document(t, 10*i+weight+1), Author: n.name})
					if err != nil {
						continue
					}
					mu.Lock()
					if other, twice := told[record.Revision]; twice {
						t.Errorf("revision %d was told to %s and %s", record.Revision, other, record.ID)
					}
					told[record.Revision] = record.ID
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		history, err := c.nodes[0].repository.History(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(told) == 0 || len(history) != len(told) {
			t.Errorf("%d acceptances were told, the history has %d", len(told), len(history))
		}
		for _, record := range history {
			if told[record.Revision] != record.ID {
				t.Errorf("revision %d is %s, told %q", record.Revision, record.ID, told[record.Revision])
			}
		}
	})
}

func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	t.Run("one", func(t *testing.T) { testLostAnswer(t, memstore.Fault{Kind: memstore.LostAnswer, Factor: 1}) })
	t.Run("all", func(t *testing.T) { testLostAnswer(t, memstore.Fault{Kind: memstore.LostAnswer}) })
}

func testLostAnswer(t *testing.T, fault memstore.Fault) {
	bubble(t, 2, func(t *testing.T, c *cluster) {
		proposal, err := c.nodes[0].Propose(t.Context(), Request{Document: document(t, 1), Author: "erzsi"})
		if err != nil {
			t.Fatal(err)
		}
		if err := c.store.Inject(fault); err != nil {
			t.Fatal(err)
		}
		record, err := c.nodes[0].Confirm(t.Context(), proposal.Record.ID)
		if err != nil {
			t.Fatal(err)
		}
		if record.Revision != 1 || record.ID != proposal.Record.ID {
			t.Errorf("accepted %+v", record)
		}
		c.awaitAll(1)
	})
}

func TestUnknownOutcomeIsSaidAndAskingAgainIsSafe(t *testing.T) {
	bubble(t, 2, func(t *testing.T, c *cluster) {
		proposal, err := c.nodes[0].Propose(t.Context(), Request{Document: document(t, 1), Author: "erzsi"})
		if err != nil {
			t.Fatal(err)
		}
		store := &vanishingStore{cutStore: c.nodes[0].store}
		repository := NewRepository(store, nil, time.Now)
		_, err = repository.Commit(t.Context(), proposal.Record)
		if !errors.Is(err, ErrUnknownOutcome) {
			t.Fatalf("got %v", err)
		}
		record, err := c.nodes[1].Confirm(t.Context(), proposal.Record.ID)
		if err != nil || record.Revision != 1 {
			t.Fatalf("asking again: %+v, %v", record, err)
		}
		history, err := c.nodes[1].repository.History(t.Context())
		if err != nil || len(history) != 1 {
			t.Errorf("history %+v, %v", history, err)
		}
	})
}

// vanishingStore lets the first write take effect, loses its answer, and answers
// nothing from then on.
type vanishingStore struct {
	*cutStore
	gone bool
}

func (s *vanishingStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.gone {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return s.cutStore.Get(ctx, key)
}

func (s *vanishingStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (platform.Entry, error) {
	if !s.gone {
		s.gone = true
		_, err := s.Store.CompareAndSwap(ctx, key, expect, value)
		if err != nil {
			return platform.Entry{}, err
		}
	}
	return platform.Entry{}, platform.ErrUnavailable
}

func TestNothingIsAcceptedInAnOutage(t *testing.T) {
	bubble(t, 2, func(t *testing.T, c *cluster) {
		c.awaitAll(c.nodes[0].accept(1).Revision)
		if err := c.store.Inject(memstore.Fault{Kind: memstore.Down}); err != nil {
			t.Fatal(err)
		}
		_, err := c.nodes[0].Accept(t.Context(), Request{Document: document(t, 2), Author: "erzsi"})
		if !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("got %v", err)
		}
		time.Sleep(time.Hour)
		for _, n := range c.nodes {
			if n.state.Revision() != 1 {
				t.Errorf("%s has revision %d in force", n.name, n.state.Revision())
			}
		}
		c.store.ClearAll()
		c.awaitAll(c.nodes[1].accept(2).Revision)
	})
}

func TestHistoryAndKeysAreBounded(t *testing.T) {
	bubble(t, 1, func(t *testing.T, c *cluster) {
		n := c.nodes[0]
		for weight := range MaxHistory + 30 {
			if _, err := n.Propose(t.Context(), Request{Document: document(t, 500), Author: "never confirmed"}); err != nil {
				t.Fatal(err)
			}
			n.accept(weight + 1)
			time.Sleep(time.Second)
		}
		history, err := n.repository.History(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(history) != MaxHistory || history[0].Revision != MaxHistory+30 {
			t.Errorf("history of %d from %d", len(history), history[0].Revision)
		}
		if history[1].Accepted.IsZero() {
			t.Error("the history lacks the time of acceptance")
		}
		oldest := history[MaxHistory-1]
		if _, err := n.repository.Document(t.Context(), oldest); err != nil {
			t.Errorf("oldest kept document: %v", err)
		}
		entries, _, err := c.store.List(t.Context(), "config/")
		if err != nil {
			t.Fatal(err)
		}
		// The head, a record and a document for each kept revision, one open
		// proposal, and the records of stale ones.
		const most = 1 + 2*(MaxHistory+1) + 2 + maxStaleAge + 1
		if len(entries) > most {
			t.Errorf("%d keys are kept, the bound is %d", len(entries), most)
		}
	})
}

func TestOpenProposalsAreBounded(t *testing.T) {
	bubble(t, 1, func(t *testing.T, c *cluster) {
		request := Request{Document: document(t, 1), Author: "erzsi"}
		var last *Proposal
		for range MaxOpen {
			proposal, err := c.nodes[0].Propose(t.Context(), request)
			if err != nil {
				t.Fatal(err)
			}
			last = proposal
			time.Sleep(time.Second)
		}
		if _, err := c.nodes[0].Propose(t.Context(), request); !errors.As(err, new(*FullError)) {
			t.Fatalf("got %v", err)
		}
		if _, err := c.nodes[0].Abandon(t.Context(), last.Record.ID); err != nil {
			t.Fatal(err)
		}
		if _, err := c.nodes[0].Propose(t.Context(), request); err != nil {
			t.Errorf("after abandoning one: %v", err)
		}
	})
}
