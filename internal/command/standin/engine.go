package standin

import (
	"time"

	"galenatrestle/internal/standin/engine"
)

type engineCommand struct {
	addresses
	Model           string        `required:"" help:"Name of the model it serves."`
	Models          []string      `help:"Further models and adapters."`
	Slots           int           `default:"8" help:"Batch size past which the time between tokens grows."`
	TokenInterval   time.Duration `default:"20ms" help:"Time between tokens up to the slots."`
	PrefillPerToken time.Duration `default:"200us" help:"Time to read one uncached prompt word."`
	CacheTokens     int           `default:"16384" help:"Size of the prefix cache, in words."`
	LoadLag         time.Duration `default:"500ms" help:"Age of the load report."`
	RestartTime     time.Duration `default:"1s" help:"How long it is down after a crash."`
	Speed           float64       `default:"1" help:"Divide all times by this."`
	Seed            uint64        `help:"Seed of the answer lengths; the same on all replicas of an upstream."`
	HonoursFencing  bool          `help:"Refuse orders with an old epoch."`
}

// Run serves the engine until it is told to stop.
func (c *engineCommand) Run() error {
	e := engine.New(engine.Options{
		Name:            c.Name,
		Model:           c.Model,
		Models:          c.Models,
		Slots:           c.Slots,
		TokenInterval:   c.TokenInterval,
		PrefillPerToken: c.PrefillPerToken,
		CacheTokens:     c.CacheTokens,
		LoadLag:         c.LoadLag,
		RestartTime:     c.RestartTime,
		Speed:           c.Speed,
		Seed:            c.Seed,
		HonoursFencing:  c.HonoursFencing,
	})
	return c.serve(e, e)
}
