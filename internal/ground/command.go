package ground

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/unit"
)

// Reread checks a settings file that is said to have changed. Addresses and
// bounds of a running process stay; a file that does not pass is reported.
func Reread(path string) *Settings {
	s, err := Read(path)
	if err != nil {
		unit.Log("settings-refused", "err", err)
		return nil
	}
	unit.Log("settings-read", "node", s.Name, "seeds", len(s.Seeds))
	return s
}

// CheckCommand checks a settings file without starting anything.
func CheckCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "check FILE", Short: "check a settings file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := Read(args[0])
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(s)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: good: node %s in zone %s\n", args[0], s.Name, s.Zone)
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print the settings read, as JSON")
	return c
}
