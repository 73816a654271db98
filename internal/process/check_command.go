package process

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/settings"
	"oxbowdeck/internal/storage"
)

// ErrFaults tells that a data folder holds what it should not.
var ErrFaults = errors.New("faults found")

// CheckCommand checks a settings file, or the data folder of a process that does
// not run, without starting or changing anything.
func CheckCommand(program string) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "check FILE|DIR",
		Short: "check a settings file, or a stopped process's data folder",
		Example: "  " + program + " check /tmp/oxbow/store-zone-1.conf\n" +
			"  " + program + " check /tmp/oxbow/store-zone-1.data",
		Args: OneArgument("FILE|DIR", "a settings file, or a data folder"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if i, err := os.Stat(args[0]); err == nil && i.IsDir() {
				return checkFolder(cmd, args[0], asJSON)
			}
			s, err := settings.Read(args[0])
			if err == nil {
				err = errs.Wrap("check", args[0], s.CheckDeployable())
			}
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(s)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: good: node %s in zone %s\n", args[0], s.Name, s.Zone)
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print what was read or found, as JSON")
	return c
}

// checkFolder tells one line for each fault, and ErrFaults if there is one.
func checkFolder(cmd *cobra.Command, dir string, asJSON bool) error {
	f := storage.Check(dir)
	if asJSON {
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(f); err != nil {
			return err
		}
	} else {
		for _, s := range f.Notes {
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", dir, s)
		}
		for _, s := range f.Faults {
			fmt.Fprintf(cmd.OutOrStdout(), "%s: fault: %s\n", dir, s)
		}
	}
	if len(f.Faults) > 0 {
		return errs.Wrap("check", dir, ErrFaults)
	}
	return nil
}
