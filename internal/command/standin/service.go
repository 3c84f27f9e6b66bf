package standin

import (
	"time"

	"galenatrestle/internal/standin/service"
)

type serviceCommand struct {
	addresses
	Latency     time.Duration `default:"5ms" help:"How long each run takes."`
	RestartTime time.Duration `default:"1s" help:"How long it is down after a crash."`
}

// Run serves the service until it is told to stop.
func (c *serviceCommand) Run() error {
	s := service.New(service.Options{Name: c.Name, Latency: c.Latency, RestartTime: c.RestartTime})
	return c.serve(s, s)
}
