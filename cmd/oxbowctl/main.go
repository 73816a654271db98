// Command oxbowctl is the control plane and the tools of its operators.
package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/controlhttp"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/process"
	"oxbowdeck/internal/settings"
)

func main() { process.Main(newRoot()) }

func newRoot() *cobra.Command {
	root := process.Root("oxbowctl", "the control plane of oxbowdeck, and its tools")
	root.AddCommand(
		process.Command("oxbowctl", "serve", "run a control-plane process", start),
		process.CheckCommand("oxbowctl"),
		configCommand(),
		statusCommand(),
		planCommand(),
		modelCommand(),
		initCommand(),
		localCommand(),
		soakCommand(),
		explainCommand(),
	)
	return root
}

// server is a control daemon with its HTTP interface.
type server struct {
	*control.Daemon
	shut func()
}

// Stop ends the daemon, then the interface.
func (s *server) Stop() {
	s.Daemon.Stop()
	s.shut()
}

func start(ctx context.Context, set *settings.Settings) (process.Daemon, error) {
	if set.Control == "" {
		return nil, errs.Errorf("settings", set.Name, "listen_addrs.control is needed: where operators and workers call")
	}
	if set.DataDir == "" {
		return nil, errs.Errorf("settings", set.Name, "data_dir is needed: a folder for the control group's state")
	}
	daemon, err := control.Start(ctx, set)
	if err != nil {
		return nil, err
	}
	bounds := controlhttp.Bounds{
		Body: int64(set.Int("config_kb", 1024)) << 10,
		Wait: time.Duration(set.Int("control_wait_ms", 800)) * time.Millisecond,
	}
	shut, err := controlhttp.Serve(set.Control, daemon, bounds, daemon.Metrics())
	if err != nil {
		return nil, err
	}
	return &server{Daemon: daemon, shut: shut}, nil
}
