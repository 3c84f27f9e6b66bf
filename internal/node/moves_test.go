package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/intent"
	"galenatrestle/internal/platform/memstore"
	"galenatrestle/internal/standin/engine"
)

const (
	moveKey   = "key-tabkassza"
	moveModel = "tab-llm"
	// moveWait ends a test that hangs; nothing else depends on it.
	moveWait = 30 * time.Second
)

// dataCentre is one side of a move: a platform, an engine and two nodes.
type dataCentre struct {
	name   string
	kv     *memstore.Store
	engine *engine.Engine
	index  *config.Index
	links  []net.Listener
	nodes  []*Node
	// regions are the nodes' regions in turn. Default: the data centre's name.
	regions []string
}

func newDataCentre(t *testing.T, name string) *dataCentre {
	t.Helper()
	d := &dataCentre{name: name, kv: memstore.New(memstore.Config{}), engine: engine.New(engine.Options{Name: name, Model: moveModel, Speed: 10})}
	server := httptest.NewServer(d.engine)
	t.Cleanup(server.Close)
	sum := sha256.Sum256([]byte(moveKey))
	document, err := config.Parse([]byte(fmt.Sprintf(`
workspaces:
  - {name: tabkassza, key_sha256: [%s], classes: [handheld], upstreams: [%s]}
classes:
  - {name: handheld, tier: 0, target_answer: 10s, give_up_after: 30s}
upstreams:
  - name: %[2]s
    kind: engine
    replicas: [{name: r0, address: "%[3]s", availability_zone: z}]
`, hex.EncodeToString(sum[:]), moveModel, server.Listener.Addr())))
	if err != nil {
		t.Fatal(err)
	}
	d.index = config.NewIndex(1, document)
	for range 2 {
		d.links = append(d.links, listenLoopback(t))
	}
	return d
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// start starts the nodes; the other side is the counterpart.
func (d *dataCentre) start(t *testing.T, other *dataCentre, home bool) {
	t.Helper()
	var urls, seeds []string
	for _, l := range other.links {
		urls = append(urls, l.Addr().String())
	}
	for _, l := range d.links {
		seeds = append(seeds, l.Addr().String())
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i, link := range d.links {
		region := d.name
		if i < len(d.regions) {
			region = d.regions[i]
		}
		n := New(Options{
			Name: fmt.Sprintf("%s-%d", d.name, i), AvailabilityZone: "z", Region: region, DataCentre: d.name,
			Entry: listenLoopback(t), Peer: link, Seeds: seeds, Store: d.kv, Instances: d.kv,
			Counterparts: map[string][]string{other.name: urls},
			Home:         func(string, string) bool { return home },
			Registry:     prometheus.NewRegistry(), Log: log,
		})
		n.Configure(d.index)
		n.Start()
		t.Cleanup(n.Close)
		d.nodes = append(d.nodes, n)
	}
}

// oneBase is the base of plans in this test.
type oneBase struct{}

func (oneBase) ConfigRevision(context.Context) (int64, string, string, error) { return 1, "", "", nil }

// move proposes and confirms a move and returns the plan as it ends.
func (d *dataCentre) move(ctx context.Context, t *testing.T, to string) *intent.Plan {
	t.Helper()
	plans := intent.NewStore(d.kv, oneBase{}, uuid.NewString, time.Now)
	base, err := plans.Base(ctx)
	if err != nil {
		t.Fatal(err)
	}
	in := intent.Intent{Kind: intent.KindMoveUpstream, Upstream: moveModel, DataCentre: to}
	plan, err := intent.Build(in, d.index.Document(), base, intent.Stats{})
	if err != nil {
		t.Fatal(err)
	}
	if plan, err = plans.Propose(ctx, plan, "anna"); err != nil {
		t.Fatal(err)
	}
	if _, err := plans.Confirm(ctx, plan.ID, "anna", true); err != nil {
		t.Fatal(err)
	}
	for !plan.State.Final() && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		if next, err := plans.Plan(ctx, plan.ID); err == nil {
			plan = next
		}
	}
	return plan
}

// ask sends one chat to the node and returns the response's status and body.
func ask(n *Node, i int) (int, string, error) { return askFor(context.Background(), n, i, 8) }

// askFor sends one chat that is answered with the number of tokens.
func askFor(ctx context.Context, n *Node, i, tokens int) (int, string, error) {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"tab %d"}]}`, moveModel, tokens, i)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.EntryAddress()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Authorization", "Bearer "+moveKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// TestMoveThereAndBackUnderLoad moves an upstream between two real deployments
// while callers go on asking the first: each request is answered, by one
// engine, and the other engine takes over.
func TestMoveThereAndBackUnderLoad(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), moveWait)
	defer cancel()
	west, east := newDataCentre(t, "west"), newDataCentre(t, "east")
	west.start(t, east, true)
	east.start(t, west, false)
	asking, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	answered := make([]int, 4)
	for c := range answered {
		callers.Go(func() {
			for i := 0; asking.Err() == nil; i++ {
				status, text, err := ask(west.nodes[c%2], c*1e6+i)
				if err != nil || status != http.StatusOK {
					t.Errorf("caller %d, request %d: %d %s %v", c, i, status, text, err)
					return
				}
				answered[c]++
			}
		})
	}
	for _, leg := range []struct{ from, to *dataCentre }{{west, east}, {east, west}} {
		before := leg.to.engine.Runs().Report().Totals.Begun
		plan := leg.from.move(ctx, t, leg.to.name)
		if plan.State != intent.StateDone {
			t.Fatalf("move to %s is %s: %s; %+v", leg.to.name, plan.State, plan.Failure, plan.Current())
		}
		for leg.to.engine.Runs().Report().Totals.Begun == before && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	stop()
	callers.Wait()
	if ctx.Err() != nil {
		t.Fatal("the move did not end in time")
	}
	total := 0
	for _, n := range answered {
		total += n
	}
	runs := west.engine.Runs().Report().Totals.Begun + east.engine.Runs().Report().Totals.Begun
	if int(runs) != total {
		t.Errorf("%d runs for %d answered requests", runs, total)
	}
	t.Logf("%d requests answered", total)
}
