package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"oxbowdeck/internal/control"
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
)

// maxPlannedShards bounds what is planned.
const maxPlannedShards = 200

// planFlags are what a plan is asked about.
type planFlags struct {
	stores    []string // NAME=ZONE
	lose      []string
	loseZones []string
	retire    []string
	shards    int
	losses    int
}

// planResult is a placement, and what follows from losses and retirements.
type planResult struct {
	Shards    []controlapi.Shard `json:"shards"`
	Shortfall string             `json:"shortfall,omitempty"`
	Lost      []control.Outcome  `json:"after_loss,omitempty"`
	Steps     []control.Step     `json:"steps,omitempty"`
}

func planCommand() *cobra.Command {
	var flags planFlags
	var asJSON bool
	c := &cobra.Command{
		Use:   "plan",
		Short: "placement of shards, and what losses and retirements would do",
		Long: "Places the shards as the control plane would (the same code). " +
			"With --lose or --lose-zone it tells what is left,\n" +
			"with --retire which moves follow, in an order in which each step is safe.",
		Example: "  oxbowctl plan --store a=zone-1 --store b=zone-2 --store c=zone-3 --losses 1 --lose b",
		Args:    cobra.NoArgs,
	}
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		result, err := flags.plan()
		if err != nil {
			return err
		}
		return show(cmd, asJSON, result, result.print)
	}
	f := c.Flags()
	f.StringArrayVar(&flags.stores, "store", nil, "a storage machine, NAME=ZONE (repeat)")
	f.StringArrayVar(&flags.lose, "lose", nil, "a storage machine that is lost")
	f.StringArrayVar(&flags.loseZones, "lose-zone", nil, "a zone that is lost")
	f.StringArrayVar(&flags.retire, "retire", nil, "a storage machine to be emptied")
	f.IntVar(&flags.shards, "shards", 2, "topic shards")
	f.IntVar(&flags.losses, "losses", 1, "machines that may be lost at once")
	jsonFlag(c, &asJSON)
	return c
}

// plan places the shards, then takes the losses and retirements in.
func (p *planFlags) plan() (*planResult, error) {
	d, err := p.deployment()
	if err != nil {
		return nil, err
	}
	state, err := d.Found()
	if err != nil {
		return nil, err
	}
	lost, err := p.lost(state)
	if err != nil {
		return nil, err
	}
	result := &planResult{Shards: copyShards(state.Shards), Shortfall: state.StoreShortfall(p.losses)}
	if len(lost) > 0 {
		result.Lost = state.AfterLoss(lost)
	}
	for _, name := range p.retire {
		if err := state.PlanRetirement(name, p.losses); err != nil {
			return nil, err
		}
	}
	if len(p.retire)+len(lost) > 0 {
		for addr := range lost {
			state.MarkGone(addr)
		}
		result.Steps = state.PlanMoves(lost)
	}
	return result, nil
}

func (p *planFlags) deployment() (d control.Deployment, err error) {
	d = control.Deployment{Shards: p.shards, Losses: p.losses}
	if len(p.stores) == 0 {
		return d, errors.New("--store NAME=ZONE is needed, once for each storage machine")
	}
	for _, s := range p.stores {
		name, zone, ok := strings.Cut(s, "=")
		if !ok || name == "" || zone == "" {
			return d, fmt.Errorf("--store %s: want NAME=ZONE", s)
		}
		d.Stores = append(d.Stores, controlapi.Node{Name: name, Zone: ids.Zone(zone)})
	}
	if d.Shards < 1 || d.Shards > maxPlannedShards {
		return d, fmt.Errorf("--shards %d: must be 1 to %d", d.Shards, maxPlannedShards)
	}
	if d.Losses < 0 {
		return d, fmt.Errorf("--losses %d: must not be below 0", d.Losses)
	}
	return d, nil
}

// lost gives the stores that --lose and --lose-zone name.
func (p *planFlags) lost(state *control.State) (map[ids.Node]bool, error) {
	lost := map[ids.Node]bool{}
	for _, name := range p.lose {
		if name != "" {
			lost[ids.Node(name)] = true
		}
	}
	known := map[ids.Node]bool{}
	for _, n := range state.Nodes {
		known[n.Addr] = true
		if slices.Contains(p.loseZones, string(n.Zone)) {
			lost[n.Addr] = true
		}
	}
	for addr := range lost {
		if !known[addr] {
			return nil, fmt.Errorf("--lose %s: no such store", addr)
		}
	}
	return lost, nil
}

// copyShards keeps a placement as it is while the state goes on.
func copyShards(shards []controlapi.Shard) []controlapi.Shard {
	out := slices.Clone(shards)
	for i := range out {
		out[i].Voters = slices.Clone(out[i].Voters)
	}
	return out
}

func (r *planResult) print(w io.Writer) {
	for i, shard := range r.Shards {
		fmt.Fprintf(w, "shard %d: leader %s, voters %s, following %s\n",
			i, shard.Voters[0].Node, names(shard.Voters), names(shard.Learners))
	}
	if r.Shortfall != "" {
		fmt.Fprintf(w, "missing: %s\n", r.Shortfall)
	}
	for _, o := range r.Lost {
		if o.Serves {
			fmt.Fprintf(w, "after the loss, shard %d: serves, %d of %d voters, leader %s, read from %v\n",
				o.Shard, o.Left, o.Voters, o.Leader, o.Reading)
		} else {
			fmt.Fprintf(w, "after the loss, shard %d: takes nothing, %d of %d voters, read from %v\n",
				o.Shard, o.Left, o.Voters, o.Reading)
		}
	}
	for i, step := range r.Steps {
		fmt.Fprintf(w, "step %d, shard %d: %s %s -> %s\n", i+1, step.Shard, step.Do, step.From, step.To)
	}
}
