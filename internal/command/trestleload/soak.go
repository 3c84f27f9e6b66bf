package trestleload

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"galenatrestle/internal/soak"
)

// soakCommand runs the real program under faults from outside.
type soakCommand struct {
	Trestled      string        `arg:"" optional:"" type:"existingfile" help:"The program under test, as built; default: the same program as part of this one, whose nodes can be cut off from replicas."`
	Seeds         string        `default:"1..10" help:"Seeds, as FIRST..LAST."`
	Nodes         int           `default:"3" help:"Processes of the program in each run."`
	Callers       int           `default:"6" help:"Callers at once in each run."`
	For           time.Duration `default:"10s" help:"How long faults begin in each run."`
	RateLimits    int           `default:"3" help:"Times in each run that a replica names the requests a second that it takes."`
	Notices       int           `default:"1" help:"Times in each run that a replica says in its answers that it leaves, before its registration does."`
	Pauses        int           `default:"3" help:"Times in each run that a replica refuses all requests and asks for a pause."`
	Restores      int           `default:"1" help:"Times in each run that the store comes back from an older copy."`
	Crashers      int           `default:"1" help:"Callers in each run that keep sending one call that ends the replicas that run it."`
	Cuts          int           `default:"0" help:"Times in each run that some of the nodes are cut off from all replicas; not with a program of its own."`
	Brittle       int           `default:"0" help:"Times in each run that the replicas of a service end if they have to refuse many requests."`
	Silences      int           `default:"0" help:"Times in each run that a sound replica says nothing for a second."`
	JointSilences int           `default:"0" help:"Times in each run that all replicas, though sound, neither begin nor go on with calls for a second."`
	Models        int           `default:"4" help:"Replicas of the model."`
	EventEvery    time.Duration `default:"10ms" help:"Time between two events of the models' streams."`
	Releases      int           `default:"0" help:"Times in each run that half of the models are replaced in turn by the next software version."`
	Crashes       int           `default:"0" help:"Times in each run that a third of the models crash at once."`
	GroupKills    int           `default:"0" help:"Times in each run that some or all nodes are killed at once."`
	Part          int           `default:"0" help:"Position, from 1 to 3, of the part of prompts that ends the replicas which begin an answer on it; 0: no calls with such a part come."`
	PartBursts    bool          `help:"Have such calls come at all nodes at once."`
	PartSeldom    bool          `help:"Have few other calls share the first part of such calls."`
	NoLength      bool          `help:"Have the models' answers come without a length and end with their connections."`
	NoFaults      bool          `help:"Leave out all faults; replicas still name rates, leave and ask for pauses."`
	AtOnce        int           `default:"2" help:"Seeds that run side by side."`
	Keep          string        `type:"path" help:"Directory that keeps settings and logs of the runs that failed."`
}

// Run implements the subcommand; it fails where a promise was broken or a run
// failed.
func (c *soakCommand) Run() error {
	first, last, err := seedRange(c.Seeds)
	if err != nil {
		return err
	}
	if c.AtOnce < 1 || c.Nodes < 1 || c.Callers < 1 {
		return fmt.Errorf("--at-once %d, --nodes %d and --callers %d must be above zero", c.AtOnce, c.Nodes, c.Callers)
	}
	if c.RateLimits < 0 || c.Notices < 0 || c.Pauses < 0 || c.Restores < 0 || c.Crashers < 0 {
		return fmt.Errorf("--rate-limits %d, --notices %d, --pauses %d, --restores %d and --crashers %d must not be below zero",
			c.RateLimits, c.Notices, c.Pauses, c.Restores, c.Crashers)
	}
	if c.Cuts < 0 || c.Brittle < 0 || c.Silences < 0 || c.JointSilences < 0 {
		return fmt.Errorf("--cuts %d, --brittle %d, --silences %d and --joint-silences %d must not be below zero", c.Cuts, c.Brittle, c.Silences, c.JointSilences)
	}
	if c.Models < 1 || c.EventEvery <= 0 || c.Releases < 0 || c.Crashes < 0 || c.GroupKills < 0 {
		return fmt.Errorf("--models %d and --event-every %s must be above zero, --releases %d, --crashes %d and --group-kills %d must not be below",
			c.Models, c.EventEvery, c.Releases, c.Crashes, c.GroupKills)
	}
	if c.Part < 0 || c.Part > soak.SharedParts || c.PartSeldom && c.Part == 1 {
		return fmt.Errorf("--part %d must be from 0 to %d, and not 1 with --part-seldom", c.Part, soak.SharedParts)
	}
	if c.Cuts > 0 && c.Nodes < 2 {
		return fmt.Errorf("--cuts %d needs --nodes of 2 or more, not %d: one node is never cut off", c.Cuts, c.Nodes)
	}
	program, err := c.program()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	broken := 0
	var group errgroup.Group
	group.SetLimit(c.AtOnce)
	for seed := first; seed <= last; seed++ {
		group.Go(func() error {
			report, err := c.play(seed, program)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || len(report.Violations) > 0 {
				broken++
			}
			printSoak(seed, report, err)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Printf("%d seeds, %d with a breach\n", last-first+1, broken)
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", broken, last-first+1)
	}
	return nil
}

// program returns the command of the program under test.
func (c *soakCommand) program() ([]string, error) {
	if c.Trestled == "" {
		self, err := os.Executable()
		return []string{self, soakNodeName}, err
	}
	if c.Cuts > 0 {
		return nil, fmt.Errorf("--cuts %d needs the program that is part of this one: leave out %s", c.Cuts, c.Trestled)
	}
	path, err := filepath.Abs(c.Trestled)
	return []string{path}, err
}

// play runs one seed, and removes its files unless it failed and they are kept.
func (c *soakCommand) play(seed uint64, program []string) (soak.Report, error) {
	dir, err := runDirectory(c.Keep, "soak", seed)
	if err != nil {
		return soak.Report{}, err
	}
	options := soak.Options{
		Seed: seed, Command: program, Dir: dir, Nodes: c.Nodes, Length: c.For, Callers: c.Callers, RateLimits: c.RateLimits,
		Notices: c.Notices, Pauses: c.Pauses, Restores: c.Restores, Crashers: c.Crashers, Cuts: c.Cuts, Brittle: c.Brittle, Silences: c.Silences, JointSilences: c.JointSilences, WithoutFaults: c.NoFaults,
		ModelReplicas: c.Models, EventEvery: c.EventEvery, Releases: c.Releases, ModelCrashes: c.Crashes, GroupKills: c.GroupKills, WithoutLength: c.NoLength,
	}
	if c.Part > 0 {
		options.PartCrash = &soak.PartCrash{Position: c.Part, Every: partEvery, Bursts: c.PartBursts, FewShare: c.PartSeldom, From: partFrom, Until: c.For}
	}
	report, err := soak.Run(context.Background(), options)
	if c.Keep == "" || (err == nil && len(report.Violations) == 0) {
		return report, joinRemove(err, dir)
	}
	return report, err
}

const (
	// partEvery is the time between two calls with a part that ends replicas, partFrom when they begin.
	partEvery = 160 * time.Millisecond
	partFrom  = 2 * time.Second
)

// joinRemove removes the directory; an error of the run goes first.
func joinRemove(err error, dir string) error {
	removed := os.RemoveAll(dir)
	if err != nil {
		return err
	}
	return removed
}

func printSoak(seed uint64, report soak.Report, err error) {
	fmt.Printf("seed %d: %d calls, %d served, %d of %d resumed streams went on, %d runs, %d violations\n",
		seed, report.Calls, report.Served, report.WentOn, report.Resumed, report.Runs, len(report.Violations))
	if err != nil {
		fmt.Println("  failed:", err)
	}
	if report.Parts.Ended > 0 {
		fmt.Println(" ", report.Parts.String())
	}
	if len(report.Violations) == 0 {
		return
	}
	for _, v := range report.Violations {
		fmt.Println("  broken:", v)
	}
	for _, e := range report.Events {
		fmt.Println("  event:", e)
	}
}
