package trestleload

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"time"

	"galenatrestle/internal/load"
)

// Bounds of the connections that the tool keeps.
const (
	idleConnections = 4096
	idleTimeout     = 30 * time.Second
	progressEvery   = time.Second
	// settlePatience bounds the wait for stand-ins to end what callers gave up.
	settlePatience = 3 * time.Second
)

// target are the flags that say where the load goes.
type target struct {
	Entry      []string           `default:"127.0.0.1:8080" help:"Entry addresses (host:port)."`
	AskEntries bool               `help:"Ask the entry addresses which ones to use (GET /entries)."`
	Runs       []string           `help:"Base URLs of the stand-ins' ops addresses, to check against what was truly run and to throw faults."`
	JSON       bool               `name:"json" help:"Print the report as JSON."`
	Quiet      bool               `help:"Print no progress."`
	Embedded   embeddedDeployment `embed:"" prefix:"embedded-"`
}

// send runs the requests and returns what became of them. truth is nil where
// no run lists are read.
func (t *target) send(w *load.Workload, requests []load.Request) (*load.Collector, *load.Truth, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	stopDeployment, err := t.startEmbedded(w)
	if err != nil {
		return nil, nil, err
	}
	defer stopDeployment()
	client := newClient()
	defer client.CloseIdleConnections()
	before, err := t.truth(ctx, client)
	if err != nil {
		return nil, nil, err
	}
	faults, err := t.throwFaults(ctx, client, w.Faults)
	if err != nil {
		return nil, nil, err
	}
	collector := load.NewCollector(w)
	stopProgress := t.showProgress(collector)
	runner := load.NewRunner(w, load.NewCaller(client), load.NewEntries(client, t.Entry, t.AskEntries), collector)
	runner.Run(ctx, requests)
	stopProgress()
	if err := faults(); err != nil {
		return nil, nil, err
	}
	if before == nil {
		return collector, nil, nil
	}
	after, err := load.FetchSettledTruth(context.WithoutCancel(ctx), client, t.Runs, settlePatience)
	if err != nil {
		return nil, nil, err
	}
	after.Since(before)
	return collector, after, nil
}

func (t *target) truth(ctx context.Context, client *http.Client) (*load.Truth, error) {
	if len(t.Runs) == 0 {
		return nil, nil
	}
	return load.FetchTruth(ctx, client, t.Runs)
}

// throwFaults starts throwing the switches; the returned function stops it and
// returns its error.
func (t *target) throwFaults(ctx context.Context, client *http.Client, faults []load.Fault) (func() error, error) {
	if len(faults) == 0 {
		return func() error { return nil }, nil
	}
	if len(t.Runs) == 0 {
		return nil, fmt.Errorf("the workload throws faults: --runs says where")
	}
	injector, err := load.NewInjector(ctx, client, t.Runs)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- injector.Run(ctx, faults) }()
	return func() error {
		cancel()
		return <-done
	}, nil
}

// showProgress writes a line a second to stderr until the returned function is
// called.
func (t *target) showProgress(collector *load.Collector) func() {
	if t.Quiet {
		return func() {}
	}
	ticker := time.NewTicker(progressEvery)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ticker.C:
				writeProgress(os.Stderr, collector.Progress())
			case <-stop:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(stop)
		<-done
	}
}

func writeProgress(w io.Writer, p load.Progress) {
	fmt.Fprintf(w, "%6.0fs  offered %d  answered %d  on target %d  open %d\n",
		p.Elapsed.Seconds(), p.Offered, p.Answered, p.OnTarget, p.Open)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}}
}
