// Command flux is oxbowdeck's data plane: edges serve clients, stores hold the
// topics.
package main

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/ground"
	"oxbowdeck/internal/hold"
	"oxbowdeck/internal/ingest"
	"oxbowdeck/internal/lore"
	"oxbowdeck/internal/unit"
	"oxbowdeck/internal/voice"
)

func main() {
	root := &cobra.Command{Use: "flux", Short: "the data plane of oxbowdeck", SilenceUsage: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		run("edge", "serve clients", func(_ context.Context, s *ground.Settings) (daemon, error) {
			if s.Front == "" || s.Ready == "" {
				return nil, unit.Errf("settings", s.Name, "listen_addrs.front and listen_addrs.readiness are needed")
			}
			if s.Kind == ground.Queue {
				return ingest.Start(s)
			}
			return voice.Start(s)
		}),
		run("store", "hold replicas of the topics", func(ctx context.Context, s *ground.Settings) (daemon, error) {
			if s.DataDir == "" {
				return nil, unit.Errf("settings", s.Name, "data_dir is needed")
			}
			return hold.Start(ctx, s)
		}),
		ground.CheckCommand(), worker(), lore.Command(hold.Bounds(&ground.Settings{ResendS: 10}), hold.Report(&ground.Settings{ReportS: 120})))
	if err := root.Execute(); errors.Is(err, lore.ErrFaults) || errors.Is(err, ground.ErrFaults) {
		os.Exit(1)
	} else if err != nil {
		os.Exit(2)
	}
}

// daemon is a running process.
type daemon interface {
	Hup(*ground.Settings)
	Stop()
}

func run(name, short string, start func(context.Context, *ground.Settings) (daemon, error)) *cobra.Command {
	var path string
	c := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		set, err := ground.Read(path)
		if err != nil {
			return err
		}
		set.Fit()
		ctx, stop := ground.Told(context.Background())
		defer stop()
		d, err := start(ctx, set)
		if ctx.Err() != nil && err != nil {
			return nil // told to end before the disk let it begin
		}
		if err != nil {
			return err
		}
		ground.Wait(ctx, path, time.Duration(set.Int("settings_look_s", 5))*time.Second, func() {
			if s := ground.Reread(path); s != nil {
				d.Hup(s)
			}
		})
		unit.Log("stopping", "node", set.Name)
		d.Stop()
		return nil
	}}
	c.Flags().StringVar(&path, "settings", os.Getenv(ground.EnvSettings), "settings file (default: $"+ground.EnvSettings+")")
	return c
}
