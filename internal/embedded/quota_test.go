package embedded

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/standin/engine"
)

const (
	quotaRequests = 5
	quotaBurst    = 2
	// quotaTries is the number of requests that each of the callers sends at
	// least.
	quotaTries = 120
)

// tabQuota bounds the requests a second of workspace tabkassza.
func tabQuota(perSecond, burst float64) map[string]config.Quota {
	return map[string]config.Quota{"tabkassza": {RequestsPerSecond: perSecond, Burst: burst}}
}

// tally counts one workspace's answers at all nodes.
type tally struct {
	mu       sync.Mutex
	answered int
	refused  int
}

// ask sends a request and counts its end; a refusal must be one by quota that
// proves that nothing ran.
func (c *tally) ask(t *testing.T, d *Deployment, node int, path, body string, header map[string]string) {
	got, err := sendTo(d, node, "POST", path, body, header)
	if err != nil {
		t.Error(err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if got.status < http.StatusMultipleChoices {
		c.answered++
		return
	}
	c.refused++
	wait, err := strconv.Atoi(got.header.Get("Retry-After"))
	if got.status != http.StatusTooManyRequests || err != nil || wait < 1 ||
		got.header.Get("Trestle-Outcome") != "not-run" || got.header.Get("Trestle-Reason") != "quota_exceeded" {
		t.Errorf("node %d: %d %v", node, got.status, got.header)
	}
}

// TestQuotaHoldsOverAllNodes floods three nodes with one workspace's requests
// while another workspace goes on. The bounds follow from the time that it
// took, however long that was.
func TestQuotaHoldsOverAllNodes(t *testing.T) {
	d := startWith(t, Options{Quotas: tabQuota(quotaRequests, quotaBurst)})
	const chat = `{"model":"trestle-llm","max_tokens":1,"messages":[{"role":"user","content":"hi"}]}`
	var over, other tally
	began := time.Now()
	var callers sync.WaitGroup
	for node := range d.Nodes {
		callers.Go(func() {
			for range quotaTries {
				over.ask(t, d, node, "/v1/chat/completions", chat, map[string]string{"Authorization": "Bearer " + TabKey})
			}
		})
		callers.Go(func() {
			for range quotaTries / 4 {
				other.ask(t, d, node, "/v1/chat/completions", chat, map[string]string{"Authorization": "Bearer " + PrairieKey})
			}
		})
	}
	callers.Wait()
	took := time.Since(began).Seconds()
	// Two owners at once, or a share that is renewed late, may double a share.
	most := int(2 * quotaRequests * (took + quotaBurst))
	if over.answered < quotaRequests || over.answered > most || over.refused == 0 {
		t.Errorf("%d answered and %d refused in %.1f s, want from %d to %d", over.answered, over.refused, took, quotaRequests, most)
	}
	if want := len(d.Nodes) * (quotaTries / 4); other.answered != want {
		t.Errorf("%d of the other workspace's %d requests were answered", other.answered, want)
	}
	runs := 0
	for i := range d.Engines() {
		runs += int(d.Engine(i).Runs().Report().Totals.Begun)
	}
	if runs != over.answered+other.answered {
		t.Errorf("%d runs for %d answers: a refused request ran", runs, over.answered+other.answered)
	}
}

// TestQuotaFollowsTheCallers floods one node of three: it must come to answer
// more than its even part of the quota, which it can't without the owner.
func TestQuotaFollowsTheCallers(t *testing.T) {
	const perSecond, burst, margin = 60.0, 1.0, 5
	d := startWith(t, Options{Quotas: tabQuota(perSecond, burst)})
	began := time.Now()
	var flood tally
	eventually(t, "more than the even part", func() bool {
		flood.ask(t, d, 0, "/services/member-ledger/tabs", "", map[string]string{"Authorization": "Bearer " + TabKey})
		even := perSecond / float64(len(d.Nodes)) * (time.Since(began).Seconds() + burst)
		return float64(flood.answered) > even+margin
	})
}

// TestRepeatIsAnsweredOverTheQuota repeats an unrepeatable call after its
// workspace has used up its quota, at each node.
func TestRepeatIsAnsweredOverTheQuota(t *testing.T) {
	d := startWith(t, Options{Quotas: tabQuota(0.001, 1)})
	const path = "/services/member-ledger/claims"
	header := func(key string) map[string]string {
		return map[string]string{"Authorization": "Bearer " + TabKey, "Idempotency-Key": key}
	}
	first := send(t, d, "POST", path, `{"tab":1}`, header("tab-1"))
	if first.status >= http.StatusMultipleChoices {
		t.Fatalf("the first call got %d %s", first.status, first.body)
	}
	for node := range d.Nodes {
		// One request fits into each node's bucket.
		if _, err := sendTo(d, node, "POST", path, `{"tab":2}`, header(fmt.Sprint("fill-", node))); err != nil {
			t.Fatal(err)
		}
	}
	runs := serviceRuns(d)
	var refused tally
	for node := range d.Nodes {
		again, err := sendTo(d, node, "POST", path, `{"tab":1}`, header("tab-1"))
		if err != nil || again.status != first.status || string(again.body) != string(first.body) || again.header.Get("Trestle-Replayed") != "true" {
			t.Errorf("node %d: the repeat got %d %s %v", node, again.status, again.body, err)
		}
		refused.ask(t, d, node, path, `{"tab":3}`, header("tab-3"))
	}
	if refused.answered != 0 || serviceRuns(d) != runs {
		t.Errorf("%d new calls were answered, %d ran, over the quota", refused.answered, serviceRuns(d)-runs)
	}
}

func serviceRuns(d *Deployment) (n int) {
	for i := range d.Services() {
		n += int(d.Service(i).Runs().Report().Totals.Begun)
	}
	return n
}

// TestTokensAreCorrectedAtTheEnd has the workspace's mean answer learned from a
// short one and then sends requests for long ones: they are let through by the
// mean, but what they used is counted, so that few fit.
func TestTokensAreCorrectedAtTheEnd(t *testing.T) {
	const short, long, bucket, least, most = 5, 200, 300, 2, 4
	quota := map[string]config.Quota{"tabkassza": {TokensPerSecond: 0.1, Burst: bucket * 10}}
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprint("stream=", stream), func(t *testing.T) {
			d := startWith(t, Options{Nodes: 1, Quotas: quota, Engine: engine.Options{Speed: 10}})
			ask := func(tokens int) answered {
				body := fmt.Sprintf(`{"model":"trestle-llm","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, stream, tokens)
				return send(t, d, "POST", "/v1/chat/completions", body, map[string]string{"Authorization": "Bearer " + TabKey})
			}
			if got := ask(short); got.status != http.StatusOK {
				t.Fatalf("%d %s", got.status, got.body)
			}
			asked := 0
			for asked <= most && ask(long).status == http.StatusOK {
				asked++
			}
			if asked < least || asked > most {
				t.Errorf("%d answers of %d tokens fit into %d, want %d to %d", asked, long, bucket, least, most)
			}
		})
	}
}

// TestARefusalByQuotaEndsTheRequest sends a plain call and a chat past the quota:
// each must be counted among the requests, and have an end in its timeline.
func TestARefusalByQuotaEndsTheRequest(t *testing.T) {
	d := startWith(t, Options{Quotas: tabQuota(0.001, 1)})
	header := map[string]string{"Authorization": "Bearer " + TabKey}
	const chat = `{"model":"trestle-llm","max_tokens":1,"messages":[{"role":"user","content":"hi"}]}`
	refused := 0
	for _, path := range []string{"/services/member-ledger/tabs", "/v1/chat/completions", "/services/member-ledger/tabs"} {
		got := send(t, d, "POST", path, chat, header)
		if got.status == http.StatusTooManyRequests {
			refused++
		}
	}
	if refused < 2 {
		t.Fatalf("%d of 3 requests were refused", refused)
	}
	response, err := http.Get("http://" + d.Nodes[0].OpsAddress() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	counted := 0.0
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "trestle_requests_total{") && strings.Contains(line, `end="over_quota"`) {
			value, err := strconv.ParseFloat(strings.TrimSpace(line[strings.LastIndex(line, " "):]), 64)
			if err != nil {
				t.Fatal(err)
			}
			counted += value
		}
	}
	if int(counted) != refused {
		t.Errorf("%d requests counted as over their quota, want %d", int(counted), refused)
	}
}
