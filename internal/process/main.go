package process

import (
	"errors"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes beside 0.
const (
	exitFaults = 1 // a check found faults
	exitError  = 2
)

// Root makes a program's root command.
func Root(name, short string) *cobra.Command {
	root := &cobra.Command{
		Use:          name,
		Short:        short,
		Example:      "  oxbowctl local /tmp/oxbow    # a whole deployment on this machine",
		SilenceUsage: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

// Main runs a program's root command, and ends the process with an exit code where it
// failed.
func Main(root *cobra.Command) {
	err := root.Execute()
	switch {
	case errors.Is(err, ErrFaults):
		os.Exit(exitFaults)
	case err != nil:
		os.Exit(exitError)
	}
}
