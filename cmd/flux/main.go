// Command flux is oxbowdeck's data plane: edges serve clients, stores hold the
// topics.
package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/ground"
	"oxbowdeck/internal/hold"
	"oxbowdeck/internal/unit"
	"oxbowdeck/internal/voice"
)

func main() {
	root := &cobra.Command{Use: "flux", Short: "the data plane of oxbowdeck", SilenceUsage: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		run("edge", "serve clients", func(s *ground.Settings) (func(), error) {
			if s.Front == "" || s.Ready == "" {
				return nil, unit.Errf("settings", s.Name, "listen_addrs.front and listen_addrs.readiness are needed")
			}
			d, err := voice.Start(s)
			if err != nil {
				return nil, err
			}
			return d.Stop, nil
		}),
		run("store", "hold replicas of the topics", func(s *ground.Settings) (func(), error) {
			if s.DataDir == "" {
				return nil, unit.Errf("settings", s.Name, "data_dir is needed")
			}
			d, err := hold.Start(s)
			if err != nil {
				return nil, err
			}
			return d.Stop, nil
		}),
		ground.CheckCommand())
	if root.Execute() != nil {
		os.Exit(2)
	}
}

func run(name, short string, start func(*ground.Settings) (func(), error)) *cobra.Command {
	var path string
	c := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		set, err := ground.Read(path)
		if err != nil {
			return err
		}
		set.Fit()
		stop, err := start(set)
		if err != nil {
			return err
		}
		ground.Wait(context.Background(), func() { ground.Reread(path) })
		unit.Log("stopping", "node", set.Name)
		stop()
		return nil
	}}
	c.Flags().StringVar(&path, "settings", os.Getenv(ground.EnvSettings), "settings file (default: $"+ground.EnvSettings+")")
	return c
}
