package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/localcluster"
	"oxbowdeck/internal/process"
)

// initCommand writes the settings of a deployment on this machine.
func initCommand() *cobra.Command {
	var plan localcluster.Plan
	c := &cobra.Command{
		Use:     "init DIR",
		Short:   "write settings for a whole deployment on this machine",
		Example: "  oxbowctl init /tmp/oxbow\n  oxbowctl init --queue --port 21830 /tmp/queue",
		Args:    process.OneArgument("DIR", "a folder for settings and data"),
		RunE: func(cmd *cobra.Command, args []string) error {
			plan.Dir = args[0]
			if err := checkDeployment(plan); err != nil {
				return err
			}
			processes, err := localcluster.Write(plan)
			if err != nil {
				return err
			}
			for _, x := range processes {
				fmt.Fprintf(cmd.OutOrStdout(), "%s %s --settings %s\n", x.Program, x.Role, x.Settings)
			}
			return nil
		},
	}
	deploymentFlags(c, &plan)
	return c
}

func deploymentFlags(c *cobra.Command, plan *localcluster.Plan) {
	f := c.Flags()
	f.IntVar(&plan.Zones, "zones", 3, "zones: a control process and a store in each")
	f.IntVar(&plan.Edges, "edges", 1, "edges in each zone")
	f.IntVar(&plan.Base, "port", 21800, "first port")
	f.BoolVar(&plan.Queue, "queue", false, "a deployment that takes in messages and sends them to workers")
	f.IntVar(&plan.Net, "net", 8, "addresses are 127.0.NET.x")
	f.StringArrayVar(&plan.Extra, "setting", nil, "a settings line for every process, NAME=VALUE (repeat)")
}

func checkDeployment(plan localcluster.Plan) error {
	return checkBounds([]flagBound{
		{"--zones", plan.Zones, 1, 5},
		{"--edges", plan.Edges, 1, 16},
		{"--port", plan.Base, 1024, 65000},
		{"--net", plan.Net, 0, 255},
	})
}

// flagBound is what a flag's value must be.
type flagBound struct {
	flag             string
	value, low, high int
}

// checkBounds names the first flag whose value is out of its bounds.
func checkBounds(bounds []flagBound) error {
	for _, bound := range bounds {
		if bound.value < bound.low || bound.value > bound.high {
			return fmt.Errorf("%s %d: must be %d to %d", bound.flag, bound.value, bound.low, bound.high)
		}
	}
	return nil
}
