package forward_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/fairshare"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/route"
)

// sharingNode returns a node with a slow replica and its log. Of the workspaces with use, only "shop" is above
// its share.
func sharingNode(t *testing.T) (f *forwardtest.Fleet, slow *forwardtest.Replica, out *bytes.Buffer, flush func()) {
	sharing := fairshare.New(fairshare.Options{Window: 2 * time.Second, MinShare: 0.1, StartedAt: time.Now().Add(-time.Minute)})
	use := fairshare.Use{Workspaces: map[fairshare.ID]fairshare.Cost{fairshare.IDOf("shop"): {Asked: 2e6, Started: 1e6}}}
	for i := range 9 {
		use.Workspaces[fairshare.IDOf(fmt.Sprint(i))] = fairshare.Cost{Asked: 1e5, Started: 1e5}
	}
	use.Queue = fairshare.Queue{Weight: 1e9, Waiting: 1e9}
	slow = forwardtest.NewReplica("i-0", upstream, func(c *forwardtest.Conn) bool {
		time.Sleep(500 * time.Millisecond)
		return answerOK(c)
	})
	t.Cleanup(slow.Crash)
	out = new(bytes.Buffer)
	log := eventlog.New(out, "test")
	sharing.SetFleet(fairshare.Sums{upstream: use}, nil, time.Now())
	return forwardtest.NewSharingNode(log, sharing, slow), slow, out, log.Flush
}

func callOf(workspace string, tokens int) *forward.Call {
	c := call(route.AtMostOnce, 1)
	c.Workspace = &route.Workspace{Name: workspace}
	c.Rank, c.Ranks, c.Prompt, c.Deadline = 1, 4, forward.Prompt{Tokens: tokens, MaxAnswerTokens: 10}, c.Arrived.Add(5*time.Second)
	return c
}

// A call above its share must go with the less urgent half of its rank, in the choice and at the replica.
func TestRankOfWorkspaceAboveItsShare(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f, replica, _, _ := sharingNode(t)
		for i, workspace := range []string{"shop", "office"} {
			_, ending := serve(t, f, callOf(workspace, 100))
			got := replica.Requests()[i].Header.Get(forwardtest.HeaderRank)
			if want := []string{"3", "2"}[i]; ending != forward.EndedComplete || got != want {
				t.Errorf("%s: ended %s, rank %s, want %s", workspace, ending, got, want)
			}
		}
	})
}

// With a queue that others are admitted to, a workspace above its share is refused as not run, and the line
// names it.
func TestWorkspaceAboveItsShareIsRefusedEarlier(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f, _, log, flush := sharingNode(t)
		go serve(t, f, callOf("office", 5_000))
		time.Sleep(time.Millisecond)
		if _, ending := serve(t, f, callOf("shop", 100)); ending != forward.EndedRefused {
			t.Errorf("a call above its share ended %s", ending)
		}
		if _, ending := serve(t, f, callOf("office", 100)); ending != forward.EndedComplete {
			t.Errorf("a call within its share ended %s", ending)
		}
		time.Sleep(time.Second)
		flush()
		refused := map[string]string{}
		for line := range bytes.Lines(log.Bytes()) {
			var fields map[string]any
			if err := json.Unmarshal(line, &fields); err == nil && fields["msg"] == "call_ended" {
				refused[fmt.Sprint(fields["workspace"])] = fmt.Sprint(fields["ending"])
			}
		}
		if refused["shop"] != string(forward.EndedRefused) || refused["office"] != string(forward.EndedComplete) {
			t.Errorf("endings by workspace in the log: %v", refused)
		}
	})
}
