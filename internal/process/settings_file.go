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

// settlePause is how long a settings file that changed must stay as it is before it is read: it
// may be in the middle of being written.
const settlePause = 250 * time.Millisecond

// maxSettleLooks bounds how often a file that does not pass is read anew, at a start, because it
// changed meanwhile.
const maxSettleLooks = 20

// digest identifies a content of the file.
type digest [sha256.Size]byte

// settingsFile is a settings file together with what was last read of it. A change is told by
// comparing with that, so none is missed however long after the reading the watch begins.
type settingsFile struct {
	path   string
	last   digest // of what was last read
	looked digest // of what the last look found, which may still be half written
}

// read reads and checks the file.
func (f *settingsFile) read() (*settings.Settings, error) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, errs.Wrap("read settings", f.path, err)
	}
	f.last = sha256.Sum256(text)
	f.looked = f.last
	set, err := settings.Parse(text)
	return set, errs.Wrap("settings", f.path, err)
}

// readAtStart reads and checks the file before there is anybody to watch it. One that does not
// pass is read again for as long as it is being written.
func (f *settingsFile) readAtStart(wait func(time.Duration)) (*settings.Settings, error) {
	set, err := f.read()
	for look := 0; err != nil && look < maxSettleLooks; look++ {
		refused := f.last
		wait(settlePause)
		set, err = f.read()
		if f.last == refused {
			break
		}
	}
	return set, err
}

// changed looks at the file, and tells whether this look and the one before found the same, and
// something else than was last read. A file that can't be read now is being replaced.
func (f *settingsFile) changed() bool {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return false
	}
	found := digest(sha256.Sum256(text))
	settled := found == f.looked
	f.looked = found
	return settled && found != f.last
}

// nextLook gives the pause before the next look: a short one while a change may go on.
func (f *settingsFile) nextLook(interval time.Duration) time.Duration {
	if f.looked != f.last {
		return min(settlePause, interval)
	}
	return interval
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
// read and is no longer being written, and returns when the context ends.
func (f *settingsFile) watch(ctx context.Context, interval time.Duration, reload func()) {
	hangups := make(chan os.Signal, 4)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	look := time.NewTimer(0) // at once: it may have changed while the process started
	defer look.Stop()
	for {
		select {
		case <-hangups:
			reload()
		case <-look.C:
			if f.changed() {
				reload()
			}
			look.Reset(f.nextLook(interval))
		case <-ctx.Done():
			return
		}
	}
}
