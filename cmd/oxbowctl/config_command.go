package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/process"
)

// configDiff is what a configuration changes over an earlier one, by prefix.
type configDiff struct {
	Release int64    `json:"config_release"`
	Over    int64    `json:"over,omitempty"`
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
	Changed []string `json:"changed"`
}

func configCommand() *cobra.Command {
	var over string
	var asJSON bool
	c := &cobra.Command{
		Use:     "config FILE",
		Short:   "check a configuration as the control plane does",
		Example: "  oxbowctl config next.json\n  oxbowctl config next.json --over current.json",
		Args:    process.OneArgument("FILE", "a configuration"),
	}
	c.RunE = func(cmd *cobra.Command, args []string) error {
		config, err := loadConfig(args[0])
		if err != nil {
			return err
		}
		diff := configDiff{Release: config.Release}
		if over != "" {
			old, err := loadConfig(over)
			if err != nil {
				return err
			}
			if config.Release <= old.Release {
				return errs.Errorf("configuration", args[0], "field config_release: %d is not above the current %d",
					config.Release, old.Release)
			}
			diff = compareConfigs(old, config)
		}
		return show(cmd, asJSON, diff, func(w io.Writer) {
			fmt.Fprintf(w, "%s: valid: release %d, %d spaces\n", args[0], config.Release, len(config.Spaces))
			diff.print(w)
		})
	}
	c.Flags().StringVar(&over, "over", "", "the configuration now in place: tell what changes")
	jsonFlag(c, &asJSON)
	return c
}

// loadConfig reads a file as the control plane would take it.
func loadConfig(path string) (*controlapi.Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap("read configuration", path, err)
	}
	if _, err := control.Check(b); err != nil {
		return nil, errs.Wrap("configuration", path, err)
	}
	return controlapi.ReadConfig(controlapi.Pack(b))
}

func compareConfigs(old, config *controlapi.Config) configDiff {
	d := configDiff{Release: config.Release, Over: old.Release}
	before := map[string]controlapi.Space{}
	for _, s := range old.Spaces {
		before[s.Prefix] = s
	}
	for _, s := range config.Spaces {
		was, known := before[s.Prefix]
		delete(before, s.Prefix)
		if !known {
			d.Added = append(d.Added, s.Prefix)
		} else if was != s {
			d.Changed = append(d.Changed, s.Prefix)
		}
	}
	for _, s := range old.Spaces {
		if _, gone := before[s.Prefix]; gone {
			d.Removed = append(d.Removed, s.Prefix)
		}
	}
	return d
}

func (d *configDiff) print(w io.Writer) {
	for _, prefix := range d.Added {
		fmt.Fprintf(w, "added   %s: its topics can be used at once; a longer prefix takes them from a shorter one\n", prefix)
	}
	for _, prefix := range d.Changed {
		fmt.Fprintf(w, "changed %s: time-outs and limits for calls that arrive from now on\n", prefix)
	}
	for _, prefix := range d.Removed {
		fmt.Fprintf(w, "removed %s: its subscriptions end, calls are answered NOSPACE, history ages out\n", prefix)
	}
}
