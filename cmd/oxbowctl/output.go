package main

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/paxos"
)

// jsonFlag gives a command its --json.
func jsonFlag(c *cobra.Command, asJSON *bool) {
	c.Flags().BoolVar(asJSON, "json", false, "machine-readable output")
}

// show prints a result: as JSON, or by text.
func show(cmd *cobra.Command, asJSON bool, v any, text func(io.Writer)) error {
	if asJSON {
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	text(cmd.OutOrStdout())
	return nil
}

// names lists the addresses of members.
func names(members []paxos.Member) string {
	var out []string
	for _, m := range members {
		out = append(out, string(m.Node))
	}
	return "[" + strings.Join(out, " ") + "]"
}
