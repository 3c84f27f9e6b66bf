package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/httplimits"
	"galenatrestle/internal/openai"
)

const (
	// loadInterval is the time between two reads of a replica's load report.
	loadInterval = time.Second
	loadTimeout  = 500 * time.Millisecond
	// maxLoadReads bounds the reads under way.
	maxLoadReads = 8
	// maxReportBytes bounds a report.
	maxReportBytes = 64 << 10
)

const stepReadLoad = "read load report"

// watchLoads reads the load reports of the engines that this node owns, until
// ctx ends. What they say of leaving goes to all nodes.
func (m *members) watchLoads(ctx context.Context) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1, ResponseHeaderTimeout: loadTimeout, MaxResponseHeaderBytes: httplimits.HeadBytes,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: loadTimeout}
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.readLoads(ctx, client)
		}
	}
}

func (m *members) readLoads(ctx context.Context, client *http.Client) {
	var reads errgroup.Group
	reads.SetLimit(maxLoadReads)
	for name, address := range m.ownedEngines() {
		reads.Go(func() error {
			report, err := readLoad(ctx, client, address)
			if err != nil {
				return nil // Silence is no sign of leaving.
			}
			m.takeReport(name, report)
			return nil
		})
	}
	_ = reads.Wait()
}

func (m *members) takeReport(name string, report openai.LoadReport) {
	if report.Leaving {
		m.tracker.RecordEngineLeaving(name)
		return
	}
	age := time.Duration(report.AgeMillis) * time.Millisecond
	m.tracker.RecordEngineServing(name, time.Now().Add(-age))
}

// ownedEngines returns the addresses of the engines that this node owns.
func (m *members) ownedEngines() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	owned := make(map[string]string)
	for name, address := range m.replicas.engines {
		if m.runner.Owner(name).Name == m.options.Name {
			owned[name] = address
		}
	}
	return owned
}

func readLoad(ctx context.Context, client *http.Client, address string) (openai.LoadReport, error) {
	var report openai.LoadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return report, errs.Wrap(errs.Upstream, err, stepReadLoad, address)
	}
	response, err := client.Do(request)
	if err != nil {
		return report, errs.Wrap(errs.Upstream, err, stepReadLoad, address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, errs.Wrap(errs.Upstream, fmt.Errorf("status %d", response.StatusCode), stepReadLoad, address)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, errs.Wrap(errs.Upstream, err, stepReadLoad, address)
}
