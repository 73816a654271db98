// Command norm is oxbowdeck's control plane.
package main

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/edict"
	"oxbowdeck/internal/ground"
	"oxbowdeck/internal/unit"
	"oxbowdeck/internal/will"
)

func main() {
	root := &cobra.Command{Use: "norm", Short: "the control plane of oxbowdeck", SilenceUsage: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(serve(), ground.CheckCommand(), config(), status(), plan(), model(), lay())
	if err := root.Execute(); errors.Is(err, ground.ErrFaults) {
		os.Exit(1)
	} else if err != nil {
		os.Exit(2)
	}
}

func serve() *cobra.Command {
	var path string
	c := &cobra.Command{Use: "serve", Short: "run a control-plane process", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			set, err := ground.Read(path)
			if err != nil {
				return err
			}
			if set.Control == "" || set.DataDir == "" {
				return unit.Errf("settings", path, "listen_addrs.control and data_dir are needed")
			}
			set.Fit()
			ctx, stop := ground.Told(context.Background())
			defer stop()
			d, err := edict.Start(ctx, set)
			if ctx.Err() != nil && err != nil {
				return nil // told to end before the disk let it begin
			}
			if err != nil {
				return err
			}
			b := will.Bounds{Body: int64(set.Int("config_kb", 1024)) << 10, Wait: time.Duration(set.Int("control_wait_ms", 800)) * time.Millisecond}
			shut, err := will.Serve(set.Control, d, b)
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
			shut()
			return nil
		}}
	c.Flags().StringVar(&path, "settings", os.Getenv(ground.EnvSettings), "settings file (default: $"+ground.EnvSettings+")")
	return c
}
