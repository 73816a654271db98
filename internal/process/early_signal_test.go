package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"context"

	"oxbowdeck/internal/settings"
)

// envEarlySignal names the settings file of a child that runs a daemon; see TestEarlyHangup.
const envEarlySignal = "OXBOWDECK_TEST_EARLY_SIGNAL"

// TestEarlyHangup: signals that say that the settings changed, or ask for records, do not end a
// process that is still reading its settings file.
func TestEarlyHangup(t *testing.T) {
	if path := os.Getenv(envEarlySignal); path != "" {
		start := func(context.Context, *settings.Settings) (Daemon, error) {
			return reloadedDaemon{make(chan []string, 4)}, nil
		}
		if run(options{path: path}, start) != nil {
			os.Exit(exitError)
		}
		return
	}
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1} {
		t.Run(signal.String(), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "boot.conf") // opened only when somebody writes to it
			if err := syscall.Mkfifo(path, 0o600); err != nil {
				t.Fatal(err)
			}
			child := exec.Command(os.Args[0], "-test.run=^TestEarlyHangup$")
			child.Env = append(os.Environ(), envEarlySignal+"="+path)
			if err := child.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- child.Wait() }()
			time.Sleep(500 * time.Millisecond) // it waits in the opening of the file
			child.Process.Signal(signal)
			select {
			case err := <-ended:
				t.Fatalf("it ended: %v", err)
			case <-time.After(300 * time.Millisecond):
			}
			child.Process.Kill()
			<-ended
		})
	}
}
