package processtest

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"galenatrestle/internal/command/standin"
	"galenatrestle/internal/command/trestlectl"
	"galenatrestle/internal/command/trestled"
	"galenatrestle/internal/command/trestleload"
)

// scriptsAtOnce bounds the processes that run at one time: a script has about
// ten. A long script runs besides.
const scriptsAtOnce = 2

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"trestled":        trestled.Main,
		"trestlectl":      trestlectl.Main,
		"trestle-standin": standin.Main,
		"trestle-load":    trestleload.Main,
	})
}

type scriptCommand = func(ts *testscript.TestScript, neg bool, args []string)

func TestScripts(t *testing.T) {
	t.Parallel()
	runScripts(t, "testdata/script", scriptsAtOnce)
}

// TestLongScripts has a script that takes as long as several others.
func TestLongScripts(t *testing.T) {
	t.Parallel()
	runScripts(t, "testdata/long", 1)
}

// runScripts runs the directory's scripts, a few at a time.
func runScripts(t *testing.T, dir string, atOnce int) {
	slots := make(chan struct{}, atOnce)
	testscript.Run(t, testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			env.Defer(func() { <-slots })
			return setup(env)
		},
		Cmds: map[string]scriptCommand{
			"start":       startCommand,
			"waitline":    waitLineCommand,
			"waitexit":    waitExitCommand,
			"kill9":       signalCommand(kill),
			"term":        signalCommand(terminate),
			"freeze":      signalCommand(freeze),
			"thaw":        signalCommand(thaw),
			"cut":         cutCommand,
			"restore":     restoreCommand,
			"waithttp":    waitHTTPCommand,
			"holder":      holderCommand,
			"exitcode":    exitCodeCommand,
			"plan":        planCommand,
			"confirmrace": confirmRaceCommand,
			"up":          upCommand,
			"chat":        chatCommand,
			"stream":      streamCommand,
			"streamend":   streamEndCommand,
			"settle":      settleCommand,
			"waitsettle":  waitSettleCommand,
			"settleall":   settleAllCommand,
			"settled":     settledCommand,
			"endall":      endAllCommand,
			"checkruns":   checkRunsCommand,
		},
	})
}
