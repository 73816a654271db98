// Package process runs a daemon of either program: settings file, logging, signals
// and readiness. What a daemon does belongs to the daemon's own package.
package process

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/requestlog"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/storage"
)

// Daemon is a running process.
type Daemon interface {
	// Reload hands over settings that changed while the process runs.
	Reload(*settings.Settings)
	// Stop ends the daemon in order.
	Stop()
}

// StartFunc starts a daemon; the context ends when the process is told to end.
type StartFunc func(context.Context, *settings.Settings) (Daemon, error)

// FlagStopWithStdin is the flag of a process that a tool started: it ends with the tool.
const FlagStopWithStdin = "stop-with-stdin"

// options are the flags of a command that runs a daemon.
type options struct {
	path          string
	stopWithStdin bool
	metrics       bool
}

// Command makes the command that runs a daemon in the foreground.
func Command(program, name, short string, start StartFunc) *cobra.Command {
	var opts options
	c := &cobra.Command{
		Use:   name,
		Short: short,
		Example: fmt.Sprintf("  oxbowctl init /tmp/oxbow    # writes settings files\n"+
			"  %s %s --settings /tmp/oxbow/NODE.conf", program, name),
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return run(opts, start) },
	}
	usage := "settings file (default: $" + settings.EnvSettings + ")"
	c.Flags().StringVar(&opts.path, "settings", os.Getenv(settings.EnvSettings), usage)
	c.Flags().BoolVar(&opts.metrics, "metrics", false,
		"count what the process does, and serve it: as tuning.metrics=1 in the settings, which goes first")
	StopWithStdinFlag(c, &opts.stopWithStdin)
	return c
}

// StopWithStdinFlag adds the flag to a command that runs in the foreground.
func StopWithStdinFlag(c *cobra.Command, value *bool) {
	c.Flags().BoolVar(value, FlagStopWithStdin, false, "stop when standard input is closed, as whoever started it ends")
}

func run(opts options, start StartFunc) error {
	if opts.path == "" {
		return errs.Errorf("settings", "", "no settings file: give --settings FILE, or set %s", settings.EnvSettings)
	}
	ignoreHangups()
	file := settingsFile{path: opts.path}
	set, err := file.readAtStart(time.Sleep)
	if err != nil {
		return err
	}
	if opts.metrics {
		set.DefaultMetrics()
	}
	slog.SetDefault(NewLogger(os.Stderr, set.LogLevel))
	set.ApplyMemoryLimit()
	if set.CheckDeployable() != nil {
		slog.Warn("test-only-settings", "relay", set.Relay, "disk_fault", set.FaultFile)
		storage.WatchFaults(set.FaultFile)
	}
	ctx, stop := TerminationContext(context.Background())
	defer stop()
	if opts.stopWithStdin {
		var cancel context.CancelFunc
		ctx, cancel = StopWithStdin(ctx)
		defer cancel()
	}
	records := requestlog.FilePath(set.Name)
	requestlog.WriteOnViolation(records)
	stopRecords := writeRecordsOnSignal(records)
	defer stopRecords()
	daemon, err := start(ctx, set)
	if ctx.Err() != nil && err != nil {
		return nil // told to end before the disk let it begin
	}
	if err != nil {
		return err
	}
	interval := time.Duration(set.Int("settings_look_s", 5)) * time.Second
	file.watch(ctx, interval, func() {
		if changed := file.reread(); changed != nil {
			daemon.Reload(changed)
		}
	})
	slog.Info("stopping", "node", set.Name)
	daemon.Stop()
	return nil
}

// Fatal ends the process on an error it cannot serve with: a damaged data folder
// must not be written on.
func Fatal(err error) {
	slog.Error("fatal", "err", err)
	os.Exit(1)
}
