package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/process"
	"oxbowdeck/internal/soak"
)

// soakOptions are the flags of soak.
type soakOptions struct {
	shape    soak.Shape
	runs     int
	planFile string
	keep     bool
	net      int
	port     int
}

// soakCommand runs deployments on this machine under troubles.
func soakCommand() *cobra.Command {
	var options soakOptions
	c := &cobra.Command{
		Use:   "soak DIR",
		Short: "run a deployment on this machine under troubles that overlap, and judge what its users see",
		Long: "Starts real processes on loopback addresses with a network of its own between them, uses them, and\n" +
			"kills, freezes, cuts, fills, replaces and restarts them by a plan that is drawn from the seed. What clients,\n" +
			"operators and workers saw is judged from outside. A run with findings leaves its plan, settings, data and logs\n" +
			"in a folder of DIR; --plan plays a plan again.",
		Example: "  oxbowctl soak /tmp/soak --seed 1 --runs 10\n  oxbowctl soak /tmp/again --plan /tmp/soak/seed-3/plan.json",
		Args:    process.OneArgument("DIR", "a folder for the runs"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runSoak(cmd, args[0], options)
		},
	}
	f := c.Flags()
	f.Uint64Var(&options.shape.Seed, "seed", 1, "seed of the first run; each further run takes the next")
	f.IntVar(&options.runs, "runs", 1, "how many runs")
	f.DurationVar(&options.shape.For, "for", time.Minute, "how long each run is under troubles")
	f.IntVar(&options.shape.Zones, "zones", 3, "zones: a control process and a store in each; 5 bear two losses")
	f.IntVar(&options.shape.Edges, "edges", 1, "edges in each zone")
	f.BoolVar(&options.shape.Queue, "queue", false, "a deployment that takes in messages and sends them to workers")
	f.BoolVar(&options.shape.Tenants, "tenants", false, "clients bear the keys of tenants, and are limited")
	f.BoolVar(&options.shape.Planned, "planned", false, "operators' work alone (restarts, retirements, additions), and nothing in trouble")
	f.BoolVar(&options.shape.SmallTables, "small-tables", false, "shards remember few clients for a short time, edges freeze for longer")
	f.StringVar(&options.planFile, "plan", "", "play this plan instead of one that is drawn")
	f.BoolVar(&options.keep, "keep", false, "keep the folders of runs without findings too")
	f.IntVar(&options.port, "port", 22500, "first port")
	f.IntVar(&options.net, "net", 9, "addresses are 127.0.NET.x")
	return c
}

func (o soakOptions) check() error {
	return checkBounds([]flagBound{
		{"--zones", o.shape.Zones, 3, 5},
		{"--edges", o.shape.Edges, 1, 12},
		{"--runs", o.runs, 1, 10000},
		{"--port", o.port, 1024, 65000},
		{"--net", o.net, 0, 255},
	})
}

// runSoak makes the runs one after the other.
func runSoak(cmd *cobra.Command, dir string, options soakOptions) error {
	if err := options.check(); err != nil {
		return err
	}
	programs, err := programsFolder()
	if err != nil {
		return err
	}
	ctx, stop := process.TerminationContext(cmd.Context())
	defer stop()
	config := soak.Config{Programs: programs, Net: options.net, Port: options.port, Output: io.Discard}
	if options.planFile != "" {
		plan, err := soak.Load(options.planFile)
		if err != nil {
			return err
		}
		config.Plan = &plan
		options.shape = plan.Shape
	}
	var sum soak.Sum
	out := cmd.OutOrStdout()
	for range options.runs {
		config.Shape = options.shape
		config.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", options.shape.Seed))
		report, err := soak.Run(ctx, config)
		if ctx.Err() != nil {
			break // it was cut short: its end says nothing
		}
		if err != nil {
			return err
		}
		report.Print(out)
		sum.Add(report)
		if len(report.Violations) == 0 && !options.keep {
			os.RemoveAll(config.Dir)
		}
		options.shape.Seed++
	}
	sum.Print(out)
	if sum.Failed > 0 {
		return errs.Wrap("soak", dir, process.ErrFaults)
	}
	return nil
}
