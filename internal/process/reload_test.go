package process

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"oxbowdeck/internal/settings"
)

// reloadedDaemon is a daemon that notes which seeds it was given while it ran.
type reloadedDaemon struct{ seeds chan []string }

func (d reloadedDaemon) Reload(set *settings.Settings) { d.seeds <- set.Seeds }
func (d reloadedDaemon) Stop()                         {}

const settingsOfReload = `node_name=store-1
ip_addr=127.0.0.1
avail_zone=zone-1
internal_ports=7120,7130
seed_nodes=127.0.0.2:8264
beat_ms=1000
timing_bounds.ping_s=2
timing_bounds.resend_s=10
tuning.settings_look_s=1
`

// TestSettingsChangeWhileItStarts: seeds that change while a process starts, which lasts for as
// long as its disk refuses, are taken over once it has started: with a signal, and without.
func TestSettingsChangeWhileItStarts(t *testing.T) {
	for name, signal := range map[string]bool{"with SIGHUP": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "boot.conf")
			if err := os.WriteFile(path, []byte(settingsOfReload), 0o644); err != nil {
				t.Fatal(err)
			}
			daemon := reloadedDaemon{make(chan []string, 4)}
			start := func(context.Context, *settings.Settings) (Daemon, error) {
				changed := strings.Replace(settingsOfReload, "127.0.0.2", "127.0.0.33", 1)
				if err := os.WriteFile(path, []byte(changed), 0o644); err != nil {
					return nil, err
				}
				if signal {
					syscall.Kill(os.Getpid(), syscall.SIGHUP)
					time.Sleep(50 * time.Millisecond)
				}
				return daemon, nil
			}
			ended := make(chan error, 1)
			go func() { ended <- run(options{path: path}, start) }()
			select {
			case seeds := <-daemon.seeds:
				if len(seeds) != 1 || seeds[0] != "127.0.0.33:8264" {
					t.Errorf("seeds %v", seeds)
				}
			case <-time.After(4 * time.Second):
				t.Error("the change was never taken over")
			}
			syscall.Kill(os.Getpid(), syscall.SIGTERM)
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}
