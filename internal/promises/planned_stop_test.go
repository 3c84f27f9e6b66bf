package promises

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/embedded"
	"galenatrestle/internal/standin/engine"
)

// TestPlannedStopCutsNothing stops one node after the other while streams run
// through them. Callers only use addresses that are among the entries.
func TestPlannedStopCutsNothing(t *testing.T) {
	d := start(t, embedded.Options{KeepTime: 200 * time.Millisecond})
	const callers = 30
	outcomes := make([]outcome, callers)
	var begun, ended sync.WaitGroup
	begun.Add(callers)
	for i := range callers {
		c := call{
			address: d.Nodes[i%len(d.Nodes)].EntryAddress(), key: embedded.PrairieKey, class: "counter",
			prompt: fmt.Sprintf("question %d", i), tokens: 60, stream: true,
		}
		c.begun = begun.Done
		ended.Go(func() { outcomes[i] = chat(context.Background(), c) })
	}
	begun.Wait()
	if err := d.Stop(time.Minute); err != nil {
		t.Errorf("stop: %v", err)
	}
	ended.Wait()
	for i, o := range outcomes {
		want := engine.ExpectedAnswer(fmt.Sprintf("question %d", i), 60)
		if !o.clean || o.text != want {
			t.Errorf("call %d was cut by a planned stop: %+v", i, o)
		}
	}
}
