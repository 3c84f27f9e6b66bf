package daemon

import (
	"context"
	"os"
	"time"

	"galenatrestle/internal/hangup"
	"galenatrestle/internal/settings"
)

// settingsEvery is how often the settings file is looked at for a change that
// no signal has told.
const settingsEvery = 2 * time.Second

// reloader takes changed settings.
type reloader interface {
	Reload(*settings.Settings)
	ReloadFailed(error)
}

// followSettings reads the settings again on SIGHUP and when the file changes,
// until ctx ends.
func followSettings(ctx context.Context, path string, to reloader) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.Signals():
		case <-ticker.C:
			if modified(path).Equal(last) {
				continue
			}
		}
		last = modified(path)
		reload(path, to)
	}
}

func reload(path string, to reloader) {
	loaded, err := settings.Load(path)
	if err != nil {
		to.ReloadFailed(err)
		return
	}
	to.Reload(loaded)
}

// modified is the file's time of change; zero where it cannot be told, as while
// it is being replaced.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
