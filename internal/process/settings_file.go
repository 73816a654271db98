package process

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/settings"
)

// settingsFile is a settings file together with what was last read of it. A change is told by
// comparing with that, so none is missed however long after the reading the watch begins.
type settingsFile struct {
	path string
	last [sha256.Size]byte // digest of what was last read
}

// read reads and checks the file.
func (f *settingsFile) read() (*settings.Settings, error) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, errs.Wrap("read settings", f.path, err)
	}
	f.last = sha256.Sum256(text)
	set, err := settings.Parse(text)
	return set, errs.Wrap("settings", f.path, err)
}

// changed tells whether the file holds anything else than was last read. One that can't be read
// now has not changed: it is being replaced.
func (f *settingsFile) changed() bool {
	text, err := os.ReadFile(f.path)
	return err == nil && sha256.Sum256(text) != f.last
}

// reread checks a settings file that is said to have changed. Addresses and bounds of a running
// process stay; a file that does not pass is reported.
func (f *settingsFile) reread() *settings.Settings {
	set, err := f.read()
	if err != nil {
		slog.Warn("settings-refused", "err", err)
		return nil
	}
	slog.Info("settings-read", "node", set.Name, "seeds", len(set.Seeds))
	return set
}

// watch calls reload at each SIGHUP, and when the file has changed without one since it was last
// read, and returns when the context ends.
func (f *settingsFile) watch(ctx context.Context, interval time.Duration, reload func()) {
	hangups := make(chan os.Signal, 4)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if f.changed() { // while the process started
		reload()
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-hangups:
			reload()
		case <-ticker.C:
			if f.changed() {
				reload()
			}
		case <-ctx.Done():
			return
		}
	}
}
