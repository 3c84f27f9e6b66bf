package trestlectl

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/configsync"
	"galenatrestle/internal/gen/trestle/configsync/v1/configsyncv1connect"
	"galenatrestle/internal/intent"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/operator"
	"galenatrestle/internal/platform/memstore"
	"galenatrestle/internal/settings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"trestlectl": Main,
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: startNodes,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"fault": injectFault, "plan": rememberPlan, "exitcode": wantExitCode},
	})
}

// The operators' keys in the scripts.
const (
	keyOfErzsi = "key-of-erzsi"
	keyOfBela  = "key-of-bela"
)

// testNodes is the number of nodes that a script finds.
const testNodes = 2

type storeKey struct{}

// startNodes starts two nodes on one platform and tells the script their
// addresses.
func startNodes(env *testscript.Env) error {
	store := memstore.New(memstore.Config{})
	env.Values[storeKey{}] = store
	ctx, cancel := context.WithCancel(context.Background())
	env.Defer(cancel)
	servers := make([]*httptest.Server, testNodes)
	view := make(staticView, testNodes)
	for i := range testNodes {
		servers[i] = httptest.NewUnstartedServer(nil)
		address := servers[i].Listener.Addr().String()
		view[i] = membership.Member{
			Name: fmt.Sprintf("vm-%d", i), PeerAddress: address,
			AvailabilityZone: "bp-angyal", Region: "budapest", State: membership.StateServing,
		}
		env.Setenv(fmt.Sprintf("OPS%d", i), address)
	}
	for i, server := range servers {
		server.Config.Handler = newTestNode(ctx, store, viewOf{view, i})
		server.Start()
		env.Defer(server.Close)
	}
	env.Setenv("TRESTLE_OPS", view[0].PeerAddress)
	env.Setenv("TRESTLE_OPERATOR_KEY", keyOfErzsi)
	env.Setenv("KEY_OF_BELA", keyOfBela)
	return nil
}

func newTestNode(ctx context.Context, store *memstore.Store, view viewOf) http.Handler {
	log := logrus.New()
	log.SetOutput(io.Discard)
	registry := prometheus.NewRegistry()
	current := configsync.NewCurrent()
	var count atomic.Int64
	newID := func() string { return fmt.Sprintf("%s-%d", view.Self().Name, count.Add(1)) }
	repository := configsync.NewRepository(store, newID, time.Now)
	syncer := configsync.New(configsync.Options{
		Repository: repository, Current: current, View: view, Peers: configsync.NewConnectPeers(plainClients{}),
		Seed: uint64(view.self), Log: log, Registry: registry,
	})
	plans := intent.NewStore(store, syncer, newID, time.Now)
	noStats := func(context.Context, intent.Intent) intent.Stats { return intent.Stats{} }
	mux := http.NewServeMux()
	mux.Handle(configsyncv1connect.NewConfigSyncServiceHandler(configsync.NewHandler(syncer)))
	mux.Handle(operator.NewHandler(operator.Options{
		Sync: syncer, Current: current, Repository: repository, View: view,
		Planners: []operator.Planner{operator.NewIntentPlanner(plans, current, noStats)},
		Operators: []settings.Operator{
			{Name: "erzsi", KeySHA256: config.HashKey(keyOfErzsi)},
			{Name: "bela", KeySHA256: config.HashKey(keyOfBela)},
		},
		Log: log, Registry: registry,
	}))
	go func() { _ = syncer.Run(ctx) }()
	return mux
}

type plainClients struct{}

func (plainClients) HTTPClient(string) *http.Client { return http.DefaultClient }
func (plainClients) URL(address string) string      { return "http://" + address }

// staticView holds all members; viewOf is one node's picture of them.
type staticView []membership.Member

type viewOf struct {
	all  staticView
	self int
}

func (v viewOf) Self() membership.Member        { return v.all[v.self] }
func (v viewOf) Members() []membership.Member   { return v.all }
func (v viewOf) Owner(string) membership.Member { return v.all[0] }

// injectFault is the script command "fault KIND" or "fault clear".
func injectFault(ts *testscript.TestScript, _ bool, args []string) {
	store := ts.Value(storeKey{}).(*memstore.Store)
	if len(args) == 1 && args[0] == "clear" {
		store.ClearAll()
		return
	}
	if len(args) != 1 {
		ts.Fatalf("usage: fault KIND")
	}
	ts.Check(store.Inject(memstore.Fault{Kind: memstore.FaultKind(args[0])}))
}

// rememberPlan is the script command "plan NAME": it takes the plan's id from
// the last output into a variable.
func rememberPlan(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: plan NAME")
	}
	_, rest, _ := strings.Cut(ts.ReadFile("stdout"), "plan ")
	id, _, found := strings.Cut(rest, ":")
	if !found {
		ts.Fatalf("the output names no plan")
	}
	ts.Setenv(args[0], id)
}

// wantExitCode is the script command "exitcode CODE COMMAND...": it runs the
// command and checks its exit code.
func wantExitCode(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: exitcode CODE COMMAND...")
	}
	err := ts.Exec(args[1], args[2:]...)
	got := "exit status 0"
	if err != nil {
		got = err.Error()
	}
	if want := "exit status " + args[0]; got != want {
		ts.Fatalf("%s, want %s", got, want)
	}
}

// TestNoConnectionIsNoUnknownOutcome checks the one failure of a confirmation
// that is certain without an answer.
func TestNoConnectionIsNoUnknownOutcome(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	if got := run([]string{"--address", address, "intent", "confirm", "config-x"}); got != exitUnavailable {
		t.Errorf("exit code %d, want %d", got, exitUnavailable)
	}
}
