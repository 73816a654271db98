package process

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"oxbowdeck/internal/requestlog"
)

// TerminationContext gives a context that ends at SIGTERM or SIGINT: also a process
// that is still starting ends in order. SIGHUP is ignored until settings are watched.
func TerminationContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ignoreHangups()
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// ignoreHangups ends the default action of SIGHUP, which is to end the process. It comes before
// anything that takes time: the settings may change while a process reads them.
func ignoreHangups() { signal.Ignore(syscall.SIGHUP) }

// orphanTimeout is how long a process whose starter has ended may take to stop.
const orphanTimeout = 10 * time.Second

// StopWithStdin gives a context that also ends when standard input is closed, as it
// is when whoever holds its other end dies in any way. The process is ended by force
// if it has not stopped orphanTimeout later.
func StopWithStdin(ctx context.Context) (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGPIPE) // nobody may be left to read what it logs
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		awaitClosed(os.Stdin)
		cancel()
		time.Sleep(orphanTimeout)
		os.Exit(1)
	}()
	return ctx, cancel
}

// awaitClosed reads to the end of a stream.
func awaitClosed(stream io.Reader) {
	io.Copy(io.Discard, stream)
}

// writeRecordsOnSignal has the records of requests written at each SIGUSR1, until stop is
// called.
func writeRecordsOnSignal(path string) (stop func()) {
	wanted := make(chan os.Signal, 1)
	signal.Notify(wanted, syscall.SIGUSR1)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-wanted:
				requestlog.WriteFile(path)
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(wanted)
		close(done)
	}
}
