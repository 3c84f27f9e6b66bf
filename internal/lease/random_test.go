package lease

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform/memstore"
)

// injectRandomFault applies one random fault to the platform or to a process. It leaves
// out LeaseLapse: only fencing protects against a platform that ends leases early.
func injectRandomFault(t *testing.T, random *rand.Rand, store *memstore.Store, processes []*process) {
	t.Helper()
	p := processes[random.IntN(len(processes))]
	length := time.Duration(1 + random.Int64N(int64(2*ttl)))
	switch random.IntN(6) {
	case 0:
		inject(t, store, memstore.Fault{Kind: memstore.Down, For: length})
	case 1:
		inject(t, store, memstore.Fault{Kind: memstore.LostAnswer, For: length, Factor: 0.5})
	case 2:
		inject(t, store, memstore.Fault{Kind: memstore.Slow, For: length, Factor: 3000 * random.Float64()})
	case 3:
		p.store.cut.Store(!p.store.cut.Load())
	case 4:
		p.clockOffset.Add(int64(length))
	case 5:
		store.ClearAll()
	}
}

func TestOneHolderUnderRandomFaults(t *testing.T) {
	terms := 0
	for seed := range uint64(30) {
		bubbletest.Run(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			store := memstore.New(memstore.Config{Seed: seed})
			processes := []*process{startProcess(t, store, "a"), startProcess(t, store, "bb"), startProcess(t, store, "ccc")}
			newest := int64(0)
			for step := range 2000 {
				if step%50 == 0 {
					injectRandomFault(t, random, store, processes)
				}
				time.Sleep(ttl / 100)
				synctest.Wait()
				holders := 0
				for _, p := range processes {
					epoch, held := p.held()
					if !held {
						continue
					}
					holders++
					if epoch < newest {
						t.Errorf("seed %d: epoch %d held after epoch %d", seed, epoch, newest)
					}
					if epoch > newest {
						newest = epoch
						terms++
					}
				}
				if holders > 1 {
					t.Fatalf("seed %d: %d holders at step %d", seed, holders, step)
				}
			}
			store.ClearAll()
			for _, p := range processes {
				p.store.cut.Store(false)
			}
			time.Sleep(3 * ttl)
			if _, held := store.Lease(duty); !held {
				t.Errorf("seed %d: nobody holds the lease after the faults", seed)
			}
			finish(t, processes...)
		})
	}
	t.Logf("%d terms", terms)
	if terms < 100 {
		t.Errorf("%d terms, want at least 100", terms)
	}
}
