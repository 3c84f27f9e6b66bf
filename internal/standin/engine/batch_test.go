package engine

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/testnet"
)

func TestTimeBetweenTokensGrowsPastTheSlots(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		e := New(Options{Name: "e1", Model: testModel, Slots: 2, TokenInterval: 10 * time.Millisecond, PrefillPerToken: 1})
		client := testnet.Serve(t, e)
		took := func(streams int) time.Duration {
			start := time.Now()
			ends := make(chan struct{})
			for range streams {
				go func() {
					streamAnswer(t, client, chat("a b c", 100, true))
					ends <- struct{}{}
				}()
			}
			for range streams {
				<-ends
			}
			return time.Since(start)
		}
		alone, full, double := took(1), took(2), took(4)
		if full > alone*11/10 {
			t.Errorf("2 streams in 2 slots took %v, 1 took %v", full, alone)
		}
		if double < full*19/10 || double > full*21/10 {
			t.Errorf("4 streams in 2 slots took %v, 2 took %v: want about twice", double, full)
		}
	})
}

func TestPriorityOrdersTheQueue(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		e := New(Options{Name: "e1", Model: testModel, Slots: 1, BatchBound: 1})
		client := testnet.Serve(t, e)
		order := make(chan string, 3)
		start := func(prompt string, priority int) {
			request := chat(prompt, 5, true)
			request.Priority = &priority
			go func() {
				streamAnswer(t, client, request)
				order <- prompt
			}()
			synctest.Wait()
		}
		start("running", 9)
		start("low", 5)
		start("high", 1)
		for _, want := range []string{"running", "high", "low"} {
			if got := <-order; got != want {
				t.Errorf("finished %q, want %q", got, want)
			}
		}
	})
}

func TestClosedConnectionCancelsTheRun(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		e := New(Options{Name: "e1", Model: testModel})
		client := testnet.Serve(t, e)
		response, err := post(t, client, "/v1/chat/completions", chat("a b", 1000, true))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		time.Sleep(time.Second)
		report := e.Runs().Report()
		if len(report.Runs) != 1 || !report.Runs[0].Cancelled || report.Runs[0].Tokens > 5 {
			t.Errorf("runs %+v, want one cancelled early", report.Runs)
		}
	})
}

func TestCancelByRequestID(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		e := New(Options{Name: "e1", Model: testModel})
		client := testnet.Serve(t, e)
		response, err := post(t, client, "/v1/chat/completions", chat("a b", 1000, true))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		cancelled, err := post(t, client, "/cancel/req-1", struct{}{})
		if err != nil || cancelled.StatusCode != http.StatusNoContent {
			t.Fatalf("cancel: %v %v", cancelled, err)
		}
		if _, _, done, err := readStream(response.Body); done || err == nil {
			t.Errorf("the stream ended cleanly: done %v, err %v", done, err)
		}
	})
}

func TestLoadReportLags(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		client := testnet.Serve(t, New(Options{Name: "e1", Model: testModel, LoadLag: time.Second}))
		go streamAnswer(t, client, chat("a", 500, true))
		synctest.Wait()
		for _, want := range []int{0, 1} {
			var report openai.LoadReport
			get(t, client, "/load", &report)
			if report.Running != want {
				t.Errorf("running %d, want %d", report.Running, want)
			}
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
	})
}
