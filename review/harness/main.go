// Command harness runs one case of the review: it starts the node program as separate processes on loopback
// addresses, with stand-ins of the platform's store, of replicas and of clients in its own process, and judges
// what clients and replicas saw. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	// runLimit bounds a run.
	runLimit = 112 * time.Second
)

// scenario runs a case and returns the violations that it saw.
type scenario func(w *world, trouble bool) ([]string, error)

var scenarios = map[string]scenario{
	"restart-of-all": restartOfAll,
	"endless-head":   endlessHead,
	"usage-restored": usageRestored,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 5 || os.Args[4] != "on" && os.Args[4] != "off" {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO NODE-PROGRAM RECORD-FILE on|off")
		return exitFailed
	}
	play, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown scenario", os.Args[1])
		return exitFailed
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	time.AfterFunc(runLimit, func() {
		w.note("could not run within %s", runLimit)
		w.close()
		os.Exit(exitFailed)
	})
	w.note("trouble: %s", os.Args[4])
	broken, err := play(w, os.Args[4] == "on")
	if err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, line := range broken {
		w.note("BROKEN %s", line)
		fmt.Println(line)
	}
	w.note("violations: %d", len(broken))
	fmt.Println("violations:", len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
