package processtest

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// confirmation is one operator's trestlectl intent confirm.
type confirmation struct {
	operator, key, ops, plan string
	output                   bytes.Buffer
	code                     int
}

// confirmRaceCommand is "confirmrace PLAN-OF-ERZSI PLAN-OF-BELA": both confirm
// at once, at different nodes. One is accepted; the other is told by whom its
// base was changed, and what.
func confirmRaceCommand(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, len(args) != 2, "confirmrace PLAN-OF-ERZSI PLAN-OF-BELA")
	d := of(ts)
	racers := []*confirmation{
		{operator: "erzsi", key: keyOfErzsi, ops: d.nodes[0].Ops, plan: args[0]},
		{operator: "bela", key: keyOfBela, ops: d.nodes[1].Ops, plan: args[1]},
	}
	program := lookUp(ts, "trestlectl")
	var both sync.WaitGroup
	for _, c := range racers {
		both.Go(func() { c.run(program) })
	}
	both.Wait()
	winner, loser := racers[0], racers[1]
	if loser.code == 0 {
		winner, loser = loser, winner
	}
	// Exit code 3 is trestlectl's for "somebody else was faster".
	if winner.code != 0 || loser.code != 3 {
		ts.Fatalf("%s: %d: %s\n%s: %d: %s", winner.operator, winner.code, &winner.output, loser.operator, loser.code, &loser.output)
	}
	if text := loser.output.String(); !strings.Contains(text, winner.operator) || !strings.Contains(text, "changed workspace prairie-spoke") {
		ts.Fatalf("%s is not told that %s changed a workspace: %s", loser.operator, winner.operator, text)
	}
	ts.Setenv("WINNER", winner.operator)
	ts.Logf("%s won; %s was told: %s", winner.operator, loser.operator, &loser.output)
}

func (c *confirmation) run(program string) {
	command := exec.Command(program, "--address", c.ops, "intent", "confirm", c.plan)
	command.Env = append(os.Environ(), "TRESTLE_OPERATOR_KEY="+c.key)
	command.Stdout, command.Stderr = &c.output, &c.output
	_ = command.Run() // The exit code says all of it.
	c.code = command.ProcessState.ExitCode()
}
