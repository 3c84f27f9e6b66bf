package daemon

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"galenatrestle/internal/settings"
)

// taken notes what a reload gave.
type taken struct {
	settings chan *settings.Settings
	errors   chan error
}

func (t taken) Reload(s *settings.Settings) { t.settings <- s }
func (t taken) ReloadFailed(err error)      { t.errors <- err }

const someSettings = `
name: vm-1
availability_zone: a
region: r
data_centre: d
listen: 127.0.0.1:1
peer_listen: 127.0.0.1:2
ops_listen: 127.0.0.1:3
platform: {addresses: ["127.0.0.1:4"]}
`

func TestAChangedFileIsReadAgainAndABadOneIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(someSettings)
	to := taken{make(chan *settings.Settings, 1), make(chan error, 1)}
	reload(path, to)
	if s := <-to.settings; s.Name != "vm-1" {
		t.Errorf("settings of %s", s.Name)
	}
	write("name: [")
	reload(path, to)
	if err := <-to.errors; err == nil {
		t.Error("a broken file was taken")
	}
	write(someSettings)
	if err := os.Chtimes(path, time.Time{}, time.Unix(1000, 0)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	started := make(chan struct{})
	go func() {
		defer close(done)
		close(started)
		followSettings(ctx, path, to)
	}()
	<-started
	// The file's change may come before it is looked at for the first time:
	// change it until it is seen.
	for changed := int64(2000); ; changed++ {
		if err := os.Chtimes(path, time.Time{}, time.Unix(changed, 0)); err != nil {
			t.Fatal(err)
		}
		select {
		case s := <-to.settings:
			if s.Name != "vm-1" {
				t.Errorf("settings of %s", s.Name)
			}
			cancel()
			<-done
			return
		case <-time.After(settingsEvery / 4):
		}
	}
}
