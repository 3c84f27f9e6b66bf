package lease

import (
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

func inject(t *testing.T, s *memstore.Store, fault memstore.Fault) {
	t.Helper()
	if err := s.Inject(fault); err != nil {
		t.Fatal(err)
	}
}

// expect checks the epoch that the process holds; 0 means none.
func expect(t *testing.T, when string, p *process, epoch int64) {
	t.Helper()
	synctest.Wait()
	if got, ok := p.held(); got != epoch || ok != (epoch != 0) {
		t.Errorf("%s: held %d, %v, want epoch %d", when, got, ok, epoch)
	}
}

// finish stops the processes and waits for them, within the synctest bubble.
func finish(t *testing.T, processes ...*process) {
	t.Helper()
	for _, p := range processes {
		p.stop()
		if err := <-p.ended; err != nil {
			t.Errorf("release: %v", err)
		}
	}
}

func TestRenewalsKeepOneEpoch(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		store := memstore.New(memstore.Config{})
		p := startProcess(t, store, "a")
		time.Sleep(10 * ttl)
		expect(t, "after ten TTLs", p, 1)
		if renewals := store.Calls()[platform.CallRenew].Calls; renewals < 38 || renewals > 41 {
			t.Errorf("%d renewals in ten TTLs, want 38 to 41", renewals)
		}
		finish(t, p)
	})
}

func TestOutageLongerThanTheLease(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		store := memstore.New(memstore.Config{})
		p := startProcess(t, store, "a")
		time.Sleep(ttl / 2)
		inject(t, store, memstore.Fault{Kind: memstore.Down, For: 3 * ttl})
		for {
			_, granted := store.Lease(duty)
			_, held := p.held()
			if held && !granted {
				t.Fatal("held after the platform's lease ended")
			}
			if !held {
				if !granted {
					t.Error("stopped without a margin before the platform's lease ended")
				}
				break
			}
			time.Sleep(ttl / 100)
		}
		synctest.Wait()
		if p.lost.Load() != EndLapsed {
			t.Errorf("lost with reason %v, want lapsed", p.lost.Load())
		}
		time.Sleep(4 * ttl)
		expect(t, "after the outage", p, 2)
		finish(t, p)
	})
}

func TestShortOutageKeepsTheTerm(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		store := memstore.New(memstore.Config{})
		p := startProcess(t, store, "a")
		time.Sleep(ttl)
		inject(t, store, memstore.Fault{Kind: memstore.Down, For: ttl / 3})
		time.Sleep(2 * ttl)
		expect(t, "after a third of the lease", p, 1)
		finish(t, p)
	})
}

func TestPausedPastTheLease(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		store := memstore.New(memstore.Config{})
		paused := startProcess(t, store, "a")
		time.Sleep(time.Second)
		expect(t, "before the pause", paused, 1)
		paused.clockOffset.Add(int64(2 * ttl))
		store.LapseLease(duty)
		other := startProcess(t, store, "bb")
		expect(t, "after the pause", paused, 0)
		expect(t, "the other", other, 2)
		if paused.lost.Load() != EndPaused {
			t.Errorf("lost with reason %v, want paused", paused.lost.Load())
		}
		time.Sleep(2 * ttl)
		expect(t, "later", paused, 0)
		finish(t, paused, other)
	})
}

func TestLostAnswerOfAcquire(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		store := memstore.New(memstore.Config{})
		inject(t, store, memstore.Fault{Kind: memstore.LostAnswer, Factor: 1})
		p := startProcess(t, store, "a")
		expect(t, "granted, answer lost", p, 0)
		if granted, held := store.Lease(duty); !held || granted.Epoch != 1 {
			t.Errorf("the platform has lease %+v, held %v; want epoch 1, held", granted, held)
		}
		time.Sleep(ttl / 2)
		expect(t, "after the next acquire", p, 2)
		if p.gained.Load() != 2 {
			t.Errorf("OnGained got epoch %d, want 2", p.gained.Load())
		}
		finish(t, p)
	})
}

func TestLostAnswersOfRenewals(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		store := memstore.New(memstore.Config{})
		p := startProcess(t, store, "a")
		time.Sleep(time.Second)
		inject(t, store, memstore.Fault{Kind: memstore.LostAnswer, For: ttl})
		time.Sleep(ttl - time.Second)
		expect(t, "answers of renewals lost", p, 0)
		time.Sleep(ttl)
		if epoch, ok := p.held(); !ok || epoch < 2 {
			t.Errorf("held %d, %v after the answers came back", epoch, ok)
		}
		finish(t, p)
	})
}

func TestEarlyEndIsNoticedAtRenewal(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		store := memstore.New(memstore.Config{})
		p := startProcess(t, store, "a")
		time.Sleep(time.Second)
		inject(t, store, memstore.Fault{Kind: memstore.LeaseLapse})
		time.Sleep(ttl / 4)
		if p.lost.Load() != EndTaken {
			t.Errorf("lost with reason %v, want taken", p.lost.Load())
		}
		time.Sleep(ttl)
		expect(t, "later", p, 2)
		finish(t, p)
	})
}

func TestTermCountsFromBeforeTheCall(t *testing.T) {
	const slow = 1500 * time.Millisecond
	settings := DefaultSettings(ttl)
	tests := map[string]time.Duration{
		"acquire":  0,
		"renewal":  settings.RenewEvery,
		"renewal2": 2 * settings.RenewEvery,
	}
	for name, sent := range tests {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				store := memstore.New(memstore.Config{})
				inject(t, store, memstore.Fault{Kind: memstore.Slow, Factor: float64(slow / time.Millisecond)})
				start := time.Now()
				p := startProcess(t, store, "a")
				// This call is answered; all later ones fail.
				time.Sleep(sent + settings.checkInterval() + slow)
				p.store.cut.Store(true)
				expect(t, "answered", p, 1)
				time.Sleep(time.Until(start.Add(sent + settings.usable() - time.Millisecond)))
				expect(t, "before the end", p, 1)
				time.Sleep(settings.checkInterval() + time.Millisecond)
				expect(t, "at the end", p, 0)
				finish(t, p)
			})
		})
	}
}

func TestGrantAnsweredAfterPauseIsUnusable(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		store := memstore.New(memstore.Config{})
		inject(t, store, memstore.Fault{Kind: memstore.Slow, Factor: 1000, For: 2 * time.Second})
		p := startProcess(t, store, "a")
		synctest.Wait()
		p.clockOffset.Add(int64(ttl))
		time.Sleep(time.Second)
		expect(t, "acquire sent before the pause", p, 0)
		if _, granted := store.Lease(duty); !granted {
			t.Error("the platform did not grant the lease")
		}
		time.Sleep(ttl)
		expect(t, "after the next acquire", p, 2)
		finish(t, p)
	})
}

func TestTakeOver(t *testing.T) {
	// tries is the longest time between two tries of a waiting process.
	tries := DefaultSettings(ttl).TryEvery * 3 / 2
	tests := []struct {
		name  string
		leave func(*process)
		bound time.Duration
	}{
		{"released", func(p *process) { p.stop() }, tries},
		{"cut off", func(p *process) { p.store.cut.Store(true) }, ttl + tries},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				store := memstore.New(memstore.Config{})
				first := startProcess(t, store, "a")
				synctest.Wait()
				second := startProcess(t, store, "bb")
				time.Sleep(3 * ttl)
				expect(t, "the first", first, 1)
				expect(t, "the second", second, 0)
				test.leave(first)
				start := time.Now()
				for {
					synctest.Wait()
					_, firstHolds := first.held()
					_, secondHolds := second.held()
					if firstHolds && secondHolds {
						t.Fatal("two holders at once")
					}
					if secondHolds {
						break
					}
					time.Sleep(ttl / 1000)
				}
				took := time.Since(start)
				if took > test.bound {
					t.Errorf("taken over after %v, want within %v", took, test.bound)
				}
				t.Logf("taken over after %v", took)
				expect(t, "the second", second, 2)
				first.store.cut.Store(false)
				finish(t, first, second)
			})
		})
	}
}
