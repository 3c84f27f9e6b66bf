package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"galenatrestle/internal/standin"
)

// stopTimeout bounds how long a stopping stand-in finishes what runs.
const stopTimeout = 10 * time.Second

// addresses are the flags that all stand-ins share.
type addresses struct {
	Name   string `required:"" help:"Name of the replica, also in the paths of the ops address."`
	Listen string `default:"127.0.0.1:0" help:"Address that serves the imitated system."`
	Ops    string `default:"127.0.0.1:0" help:"Address that serves fault switches and run lists."`
}

// serve runs handler on the listen address and the switches of s on the ops
// address until SIGINT or SIGTERM, then finishes what runs.
func (a *addresses) serve(handler http.Handler, s standin.Standin) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	ops := standin.Handler(map[string]standin.Standin{a.Name: s})
	listenAddress, err := start(ctx, group, a.Listen, handler)
	if err != nil {
		return err
	}
	opsAddress, err := start(ctx, group, a.Ops, ops)
	if err != nil {
		stop()
		return errors.Join(err, group.Wait())
	}
	fmt.Printf("%s serves on %s, its switches on http://%s/standin/%s/fault\n", a.Name, listenAddress, opsAddress, a.Name)
	fmt.Println("ready")
	return group.Wait()
}

// start serves handler in the group until ctx ends and returns the address.
func start(ctx context.Context, group *errgroup.Group, address string, handler http.Handler) (net.Addr, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		return server.Shutdown(limited)
	})
	return listener.Addr(), nil
}
