package inspect

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/process"
	"oxbowdeck/internal/topic"
)

const longHelp = `Checks each directory (epochs, instances, values), runs its decided log through the state machine
again, and compares the directories with each other by digests. Opens read-only; the store must not
be running. With --topic, --client or --message it tells what happened to them. Exit code 1: faults
were found.`

// flags are what the command line asks for.
type flags struct {
	asJSON  bool
	stop    uint64
	topic   string
	client  string
	message string
}

// report is what the command found.
type report struct {
	Groups []Group `json:"groups"`
	Faults []Fault `json:"faults"`
	Events []Event `json:"events"`
}

// Command reads data directories.
func Command(bounds topic.Bounds, reportFor ids.Millis) *cobra.Command {
	var f flags
	command := &cobra.Command{
		Use:   "inspect DIR...",
		Short: "read stores' data directories offline: check, compare, replay",
		Long:  longHelp,
		Example: "  oxbowdeck inspect /tmp/oxbow/store-zone-*.data\n" +
			"  oxbowdeck inspect --topic room.1 /tmp/oxbow/store-zone-1.data",
		Args: func(_ *cobra.Command, dirs []string) error {
			if len(dirs) == 0 {
				return errors.New("argument DIR is needed: the data folder of a store that does not run, or several")
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, dirs []string) error {
			found, err := f.inspect(dirs, Options{Bounds: bounds, Report: reportFor})
			if err != nil {
				return err
			}
			if err := found.write(cmd.OutOrStdout(), f.asJSON); err != nil {
				return err
			}
			if len(found.Faults) > 0 {
				cmd.SilenceErrors = true
				return process.ErrFaults
			}
			return nil
		},
	}
	command.Flags().BoolVar(&f.asJSON, "json", false, "machine-readable output")
	command.Flags().Uint64Var(&f.stop, "stop", 0, "replay no further than this instance")
	command.Flags().StringVar(&f.topic, "topic", "", "tell what happened to this topic")
	command.Flags().StringVar(&f.client, "client", "", "tell what this client did")
	command.Flags().StringVar(&f.message, "message", "", "tell what happened to the message with this X-Attempt-Id")
	return command
}

// inspect reads and compares the directories.
func (f *flags) inspect(dirs []string, options Options) (report, error) {
	var found report
	options.Stop = ids.Slot(f.stop)
	options.Topic = ids.Topic(f.topic)
	options.Client = ids.Client(f.client)
	options.Message = f.message
	if f.topic != "" || f.client != "" || f.message != "" {
		seen := map[Event]bool{} // replicas tell the same: once is enough
		options.OnEvent = func(_ Group, event Event) {
			if !seen[event] {
				seen[event] = true
				found.Events = append(found.Events, event)
			}
		}
	}
	for _, dir := range dirs {
		groups, faults, err := Read(dir, options)
		if err != nil {
			return report{}, err
		}
		found.Groups = append(found.Groups, groups...)
		found.Faults = append(found.Faults, faults...)
	}
	found.Faults = append(found.Faults, Compare(found.Groups)...)
	return found, nil
}

// write writes the report, as JSON or as text.
func (r *report) write(out io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	for _, g := range r.Groups {
		fmt.Fprintf(out, "%s: group %d: epoch %d, snapshot at %d, decided to %d, %d undecided, state %s at %d\n",
			g.Dir, g.Group, g.Epoch, g.Snapshot, g.Decided, g.Undecided, g.Digest, g.At)
		if g.Open+g.Ended > 0 {
			fmt.Fprintf(out, "%s: group %d: %d messages waiting, %d ended\n", g.Dir, g.Group, g.Open, g.Ended)
		}
	}
	for _, event := range r.Events {
		fmt.Fprintln(out, event)
	}
	for _, fault := range r.Faults {
		fmt.Fprintln(out, "fault:", fault)
	}
	return nil
}
