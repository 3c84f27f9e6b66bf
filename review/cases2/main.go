// Command cases2 runs the scripts of the second review. Each case starts the nodes, and the
// replicas that are to end, as separate processes on loopback addresses, and checks one rule
// from what callers and replicas see.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxRunTime bounds a case; it ends all processes that the case started.
const maxRunTime = 110 * time.Second

// replicaMode is the first argument of a process that is a replica.
const replicaMode = "replica"

// cases has the cases by name.
var cases = map[string]func(*deployment) (broken bool, err error){
	"unframed":  runUnframed,
	"release":   runRelease,
	"split":     runSplit,
	"silent":    runSilent,
	"abandoned": runAbandoned,
}

func main() {
	if len(os.Args) == 6 && os.Args[1] == replicaMode {
		serveReplica(os.Args[2], os.Args[3], os.Args[4], os.Args[5])
		return
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE NODE-PROGRAM RECORD-FILE")
		os.Exit(statusNotRun)
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(statusNotRun)
	}
	os.Exit(runCase(run, os.Args[2], os.Args[3]))
}

const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

func runCase(run func(*deployment) (bool, error), program, recordFile string) int {
	d, err := newDeployment(program, recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer d.close()
	go func() {
		time.Sleep(maxRunTime)
		d.recordf("the case took too long")
		d.close()
		os.Exit(statusNotRun)
	}()
	broken, err := run(d)
	switch {
	case err != nil:
		d.recordf("not run: %v", err)
		return statusNotRun
	case broken:
		d.recordf("result: the rule was broken")
		return statusBroken
	default:
		d.recordf("result: the rule held")
		return statusHeld
	}
}

// withTrouble reports whether the disruption takes place.
func withTrouble() bool { return os.Getenv("TROUBLE") != "0" }
