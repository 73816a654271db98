package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/localcluster"
	"oxbowdeck/internal/process"
)

// defaultReadyTimeout is how long a deployment on this machine may take to serve.
const defaultReadyTimeout = time.Minute

// localCommand runs a deployment on this machine in the foreground.
func localCommand() *cobra.Command {
	var plan localcluster.Plan
	var unconfigured bool
	var readyTimeout time.Duration
	c := &cobra.Command{
		Use:   "local DIR",
		Short: "run a whole deployment on this machine in the foreground",
		Long: "Starts every process of a deployment on loopback addresses, with settings and data in DIR, gives it\n" +
			"a sample " +
			"configuration if it has none, and prints what the processes log. Ctrl-C or SIGTERM ends all of it. The programs\n" +
			"are taken from the folder of this one. A queue gets a stand-in worker as well.",
		Example: "  oxbowctl local /tmp/oxbow\n  oxbowctl local --queue --port 21830 /tmp/queue",
		Args:    process.OneArgument("DIR", "a folder for settings and data"),
		RunE: func(cmd *cobra.Command, args []string) error {
			plan.Dir = args[0]
			if err := checkDeployment(plan); err != nil {
				return err
			}
			programs, err := programsFolder()
			if err != nil {
				return err
			}
			ctx, stop := process.TerminationContext(cmd.Context())
			defer stop()
			return localcluster.Run(ctx, localcluster.Options{
				Plan:         plan,
				Programs:     programs,
				Configure:    !unconfigured,
				ReadyTimeout: readyTimeout,
				Output:       cmd.OutOrStdout(),
			})
		},
	}
	deploymentFlags(c, &plan)
	c.Flags().BoolVar(&unconfigured, "no-config", false, "leave the sample configuration out")
	c.Flags().DurationVar(&readyTimeout, "ready-timeout", defaultReadyTimeout, "end it if it does not serve by then")
	return c
}

// programsFolder is the folder of this program, from which the others are run.
func programsFolder() (string, error) {
	executable, err := os.Executable()
	return filepath.Dir(executable), errs.Wrap("find the programs", "", err)
}
