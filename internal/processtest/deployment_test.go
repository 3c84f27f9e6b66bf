package processtest

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"text/template"

	"github.com/rogpeppe/go-internal/testscript"

	"galenatrestle/internal/config"
	"galenatrestle/internal/load"
)

// Sizes of a script's deployment.
const (
	nodes    = 3
	engines  = 3
	services = 2
)

// Keys of the deployment.
const (
	workspaceKey = "key-of-prairie-spoke"
	keyOfErzsi   = "key-of-erzsi"
	keyOfBela    = "key-of-bela"
)

// outside is an outside system: a stand-in's name and addresses.
type outside struct{ Name, Address, Ops string }

// nodeData fills the settings template of one node.
type nodeData struct {
	Name, Entry, Peer, Ops string
	// PeerRelay is the address that the other nodes are told.
	PeerRelay, PlatformRelay string
	Seeds                    []string
	ErzsiSum, BelaSum        string
}

// deployment is what one script has: addresses, relays, processes, and what its
// callers were told.
type deployment struct {
	dir      string
	platform outside
	engines  []outside
	services []outside
	nodes    []*nodeData
	// lone is a node that knows none of the others.
	lone   *nodeData
	relays map[string]*relay
	caller *load.Caller
	client *http.Client

	mu        sync.Mutex
	processes map[string]*process
	streams   map[string]*stream
	batches   map[string]*sync.WaitGroup
	told      []told
}

type deploymentKey struct{}

func of(ts *testscript.TestScript) *deployment {
	return ts.Value(deploymentKey{}).(*deployment)
}

// setup reserves the addresses and writes the settings and configurations;
// it starts no process.
func setup(env *testscript.Env) error {
	d := &deployment{
		dir:       env.WorkDir,
		relays:    make(map[string]*relay),
		processes: make(map[string]*process),
		streams:   make(map[string]*stream),
		batches:   make(map[string]*sync.WaitGroup),
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	d.client = &http.Client{Transport: begunTransport{transport}}
	d.caller = load.NewCaller(d.client)
	env.Values[deploymentKey{}] = d
	env.Defer(transport.CloseIdleConnections)
	env.Defer(d.close)
	if err := d.layOut(env); err != nil {
		return err
	}
	d.setVariables(env)
	return d.writeFiles()
}

// layOut gives every process its addresses.
func (d *deployment) layOut(env *testscript.Env) error {
	var first error
	address := func() string {
		r, err := reserve()
		if err != nil {
			first = err
			return ""
		}
		env.Defer(r.close)
		return r.address
	}
	relayed := func(name, target string) string {
		r, err := newRelay(target)
		if err != nil {
			first = err
			return ""
		}
		env.Defer(r.close)
		d.relays[name] = r
		return r.address()
	}
	d.platform = outside{"platform", address(), address()}
	for i := range engines {
		d.engines = append(d.engines, outside{fmt.Sprintf("engine-%d", i+1), address(), address()})
	}
	for i := range services {
		d.services = append(d.services, outside{fmt.Sprintf("ledger-%d", i+1), address(), address()})
	}
	for i := range nodes {
		n := &nodeData{Name: fmt.Sprintf("vm-%d", i+1), Entry: address(), Peer: address(), Ops: address()}
		n.PlatformRelay = relayed(n.Name+"-platform", d.platform.Address)
		n.PeerRelay = relayed(n.Name+"-peer", n.Peer)
		n.ErzsiSum, n.BelaSum = config.HashKey(keyOfErzsi), config.HashKey(keyOfBela)
		d.nodes = append(d.nodes, n)
	}
	d.lone = &nodeData{Name: "vm-lone", Entry: address(), Peer: address(), Ops: address()}
	d.lone.PlatformRelay, d.lone.PeerRelay = d.platform.Address, d.lone.Peer
	d.lone.ErzsiSum, d.lone.BelaSum = config.HashKey(keyOfErzsi), config.HashKey(keyOfBela)
	for _, n := range d.nodes {
		for _, other := range d.nodes {
			if other != n {
				n.Seeds = append(n.Seeds, other.PeerRelay)
			}
		}
	}
	return first
}

// setVariables tells the script the addresses and keys.
func (d *deployment) setVariables(env *testscript.Env) {
	env.Setenv("PLATFORM", d.platform.Address)
	env.Setenv("PLATFORM_OPS", d.platform.Ops)
	for i, e := range d.engines {
		env.Setenv("ENGINE"+strconv.Itoa(i+1)+"_OPS", e.Ops)
	}
	for i, s := range d.services {
		env.Setenv("LEDGER"+strconv.Itoa(i+1)+"_OPS", s.Ops)
	}
	for i, n := range d.nodes {
		env.Setenv("ENTRY"+strconv.Itoa(i+1), n.Entry)
		env.Setenv("OPS"+strconv.Itoa(i+1), n.Ops)
	}
	env.Setenv("OPS_LONE", d.lone.Ops)
	env.Setenv("TRESTLE_OPS", d.nodes[0].Ops)
	env.Setenv("TRESTLE_OPERATOR_KEY", keyOfErzsi)
	env.Setenv("KEY_OF_BELA", keyOfBela)
}

// configData fills the configuration's template.
type configData struct {
	KeySum            string
	Weight            int
	Engines, Services []outside
}

// writeFiles writes vm-N.yaml, vm-lone.yaml, and config-1.yaml to config-3.yaml, which differ
// in a weight.
func (d *deployment) writeFiles() error {
	templates, err := template.ParseGlob(filepath.Join(testdata, "*.tmpl"))
	if err != nil {
		return err
	}
	write := func(file, name string, data any) error {
		var text bytes.Buffer
		if err := templates.ExecuteTemplate(&text, name, data); err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(d.dir, file), text.Bytes(), 0o600)
	}
	for _, n := range append([]*nodeData{d.lone}, d.nodes...) {
		if err := write(n.Name+".yaml", "settings.yaml.tmpl", n); err != nil {
			return err
		}
	}
	for weight := 1; weight <= 3; weight++ {
		data := configData{config.HashKey(workspaceKey), weight, d.engines, d.services}
		if err := write(fmt.Sprintf("config-%d.yaml", weight), "config.yaml.tmpl", data); err != nil {
			return err
		}
	}
	return nil
}

const testdata = "testdata"

// close ends the script's processes, by their own ids.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		p.kill()
	}
}
