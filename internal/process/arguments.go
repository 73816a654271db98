package process

import (
	"fmt"

	"github.com/spf13/cobra"
)

// OneArgument checks that a command got its one argument, and names it if not.
func OneArgument(name, meaning string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) == 1 && args[0] != "" {
			return nil
		}
		return fmt.Errorf("argument %s is needed: %s; got %d arguments", name, meaning, len(args))
	}
}
