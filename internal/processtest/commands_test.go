package processtest

import (
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// find returns the named process of the script.
func (d *deployment) find(ts *testscript.TestScript, name string) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.processes[name]
	if !ok {
		ts.Fatalf("no process %s was started", name)
	}
	return p
}

// start runs program as the named process, which must not run already.
func (d *deployment) start(ts *testscript.TestScript, name, program string, args ...string) {
	path := lookUp(ts, program)
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.processes[name]; ok && p.running() {
		ts.Fatalf("process %s runs already", name)
	}
	p, err := startProcess(d.dir, name, path, args...)
	ts.Check(err)
	d.processes[name] = p
}

// lookUp finds a program where the script would.
func lookUp(ts *testscript.TestScript, program string) string {
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		if path, err := exec.LookPath(filepath.Join(dir, program)); err == nil {
			return path
		}
	}
	ts.Fatalf("no program %s", program)
	return ""
}

func usage(ts *testscript.TestScript, neg bool, wrong bool, text string) {
	if neg || wrong {
		ts.Fatalf("usage: %s", text)
	}
}

// startCommand is "start NAME PROGRAM ARGS...". NAME may be one of the
// deployment's outside systems or nodes without more: "start vm-1".
func startCommand(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, len(args) == 0, "start NAME [PROGRAM ARGS...]")
	d := of(ts)
	if len(args) > 1 {
		d.start(ts, args[0], args[1], args[2:]...)
		return
	}
	d.startKnown(ts, args[0])
}

// startKnown starts a part of the deployment by its name.
func (d *deployment) startKnown(ts *testscript.TestScript, name string) {
	run := func(o outside, kind string, flags ...string) {
		flags = append([]string{kind, "--name", o.Name, "--listen", o.Address, "--ops", o.Ops}, flags...)
		d.start(ts, name, "trestle-standin", flags...)
	}
	if name == d.platform.Name {
		run(d.platform, "platform")
		return
	}
	for _, e := range d.engines {
		if e.Name == name {
			run(e, "engine", "--model", "trestle-llm")
			return
		}
	}
	for _, s := range d.services {
		if s.Name == name {
			run(s, "service", "--latency", "300ms")
			return
		}
	}
	for _, n := range append([]*nodeData{d.lone}, d.nodes...) {
		if n.Name == name {
			d.start(ts, name, "trestled", "--settings", name+".yaml")
			return
		}
	}
	ts.Fatalf("%s is no part of the deployment", name)
}

// waitLineCommand is "waitline NAME REGEXP": it waits for the process to write
// such a line.
func waitLineCommand(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, len(args) != 2, "waitline NAME REGEXP")
	d := of(ts)
	p := d.find(ts, args[0])
	pattern, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	if !waitUntil(func() bool { return p.hasLine(pattern) || !p.running() }) || !p.hasLine(pattern) {
		ts.Fatalf("%s wrote no %q:\n%s", args[0], args[1], ts.ReadFile(args[0]+".log"))
	}
}

// waitExitCommand is "waitexit NAME CODE": it waits for the process to end by
// itself.
func waitExitCommand(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, len(args) != 2, "waitexit NAME CODE")
	p := of(ts).find(ts, args[0])
	ts.Check(p.waitExit(waitLimit))
	if got := strconv.Itoa(p.code); got != args[1] {
		ts.Fatalf("%s ended with code %s, want %s:\n%s", args[0], got, args[1], ts.ReadFile(args[0]+".log"))
	}
}

func kill(p *process) error {
	p.kill()
	return nil
}

func terminate(p *process) error { return p.signal(syscall.SIGTERM) }
func freeze(p *process) error    { return p.signal(syscall.SIGSTOP) }
func thaw(p *process) error      { return p.signal(syscall.SIGCONT) }

// signalCommand returns the command "kill9 NAME..." and its like.
func signalCommand(send func(*process) error) scriptCommand {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		usage(ts, neg, len(args) == 0, "kill9, term, freeze or thaw NAME...")
		for _, name := range args {
			p := of(ts).find(ts, name)
			if !p.running() {
				ts.Fatalf("%s has ended before:\n%s", name, ts.ReadFile(name+".log"))
			}
			ts.Check(send(p))
		}
	}
}

// cutCommand is "cut RELAY..."; relays are named vm-N-platform and vm-N-peer.
func cutCommand(ts *testscript.TestScript, neg bool, args []string) {
	eachRelay(ts, neg, args, (*relay).cut)
}

// restoreCommand is "restore RELAY...".
func restoreCommand(ts *testscript.TestScript, neg bool, args []string) {
	eachRelay(ts, neg, args, (*relay).restore)
}

func eachRelay(ts *testscript.TestScript, neg bool, args []string, do func(*relay)) {
	usage(ts, neg, len(args) == 0, "cut or restore RELAY...")
	for _, name := range args {
		r, ok := of(ts).relays[name]
		if !ok {
			ts.Fatalf("no relay %s", name)
		}
		do(r)
	}
}

// exitCodeCommand is "exitcode CODE COMMAND...".
func exitCodeCommand(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, len(args) < 2, "exitcode CODE COMMAND...")
	got := "exit status 0"
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		got = err.Error()
	}
	if want := "exit status " + args[0]; got != want {
		ts.Fatalf("%s, want %s", got, want)
	}
}

// planCommand is "plan NAME": it takes the plan's id from the last output into a
// variable.
func planCommand(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, len(args) != 1, "plan NAME")
	_, rest, _ := strings.Cut(ts.ReadFile("stdout"), "plan ")
	id, _, found := strings.Cut(rest, ":")
	if !found {
		ts.Fatalf("the output names no plan")
	}
	ts.Setenv(args[0], id)
}

// upCommand is "up [CONFIG]": it starts the whole deployment, applies the
// configuration (config-1.yaml), and returns when all nodes know each other and
// have it in force.
func upCommand(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, len(args) != 0, "up")
	d := of(ts)
	d.startKnown(ts, "platform")
	for _, o := range append(append([]outside{}, d.engines...), d.services...) {
		d.startKnown(ts, o.Name)
	}
	for _, n := range d.nodes {
		d.startKnown(ts, n.Name)
	}
	for _, n := range d.nodes {
		waitLineCommand(ts, false, []string{n.Name, "serving"})
	}
	for _, o := range append(append([]outside{d.platform}, d.engines...), d.services...) {
		waitLineCommand(ts, false, []string{o.Name, "^ready$"})
	}
	for _, n := range d.nodes {
		d.waitEntries(ts, n)
	}
	ts.Check(ts.Exec("trestlectl", "config", "apply", "config-1.yaml", "--confirm"))
	for _, n := range d.nodes {
		waitHTTPCommand(ts, false, []string{"http://" + n.Ops + "/healthz", "^200 "})
	}
}

// waitEntries waits until the node names all nodes' entries.
func (d *deployment) waitEntries(ts *testscript.TestScript, n *nodeData) {
	for _, other := range d.nodes {
		waitHTTPCommand(ts, false, []string{"http://" + n.Entry + "/entries", regexp.QuoteMeta(other.Entry)})
	}
}
