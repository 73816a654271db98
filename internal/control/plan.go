package control

import (
	"fmt"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// Deployment is what the planner is asked about.
type Deployment struct {
	Stores []controlapi.Node
	Shards int
	Losses int
}

// Outcome is what follows for one shard when machines are lost.
type Outcome struct {
	Shard   int      `json:"shard"`
	Leader  string   `json:"leader"` // the first live one in the agreed order; empty: no majority
	Left    int      `json:"voters_left"`
	Voters  int      `json:"voters"`
	Serves  bool     `json:"serves"`  // a majority of the voters lives
	Reading []string `json:"reading"` // live replicas, that edges can follow
}

// Found enrolls the stores in a new state and places the shards, as the group would.
func (d Deployment) Found() (*State, error) {
	s := &State{}
	for i, n := range d.Stores {
		n.Role, n.Incarnation, n.Disk = controlapi.Store, 1, uint64(i+1)
		n.Addr = ids.Node(n.Name)
		if s.find(n.Addr) != nil {
			return nil, fmt.Errorf("store %s is named twice", n.Name)
		}
		s.run(&Command{Verb: Enroll, Node: n})
	}
	if s.run(&Command{Verb: Found, Shards: d.Shards, Losses: d.Losses, Fewer: true}); len(s.Shards) == 0 {
		return nil, fmt.Errorf("no store is given: nothing can be placed")
	}
	return s, nil
}

// PlanRetirement retires a store in a planned state.
func (s *State) PlanRetirement(name string, losses int) error {
	switch res, _ := s.retire(name, losses, 0); res {
	case Unknown:
		return fmt.Errorf("--retire %s: no such store", name)
	case TooFew:
		return fmt.Errorf("--retire %s: too few would be left to outlast the loss of %d", name, losses)
	}
	return nil
}

// MarkGone takes a store for gone.
func (s *State) MarkGone(a ids.Node) {
	if n := s.find(a); n != nil {
		n.Gone = true
	}
}

// AfterLoss tells what the loss of some stores would do to each shard.
func (s *State) AfterLoss(lost map[ids.Node]bool) (out []Outcome) {
	for i, sh := range s.Shards {
		o := Outcome{Shard: i, Voters: len(sh.Voters)}
		for _, m := range sh.Voters {
			if !lost[m.Node] {
				o.Left++
				o.Reading = append(o.Reading, string(m.Node))
				if o.Leader == "" {
					o.Leader = string(m.Node)
				}
			}
		}
		for _, m := range sh.Learners {
			if !lost[m.Node] {
				o.Reading = append(o.Reading, string(m.Node))
			}
		}
		// what shards founded in full need besides a majority is in it
		copies := paxos.CopiesNeeded(o.Voters, (s.WantedVoters+1)/2)
		if o.Serves = o.Left >= copies; !o.Serves {
			o.Leader = ""
		}
		out = append(out, o)
	}
	return out
}

// Step is one change on the way from a placement to another. Each is safe by
// itself: a shard changes one replica at a time, and the next step waits until
// the membership is in force and all of its members hold what was decided.
type Step struct {
	Shard ids.Group `json:"shard"`
	Do    string    `json:"do"`
	From  ids.Node  `json:"from,omitempty"`
	To    ids.Node  `json:"to,omitempty"`
}

// simulatedReports is what the shards' leaders would report, with some stores silent (for
// long, or just now), every other follower level and nothing under way that a former
// leader began.
func (s *State) simulatedReports(silent map[ids.Node]bool, long bool) map[ids.Group]Report {
	reports := map[ids.Group]Report{}
	for _, sh := range s.Shards {
		r := Report{
			MemberLost: controlapi.MemberLost{Group: sh.Group, Epoch: sh.Epoch},
			Long:       map[ids.ReplicaID]bool{},
		}
		for _, m := range sh.Voters {
			if silent[m.Node] {
				r.Silent = append(r.Silent, m)
				r.Long[m.ID] = long
			}
		}
		for _, m := range sh.Learners {
			if !silent[m.Node] {
				r.Ready = append(r.Ready, m)
			}
			if !paxos.ContainsNode(sh.Members, m.Node) {
				r.Released = append(r.Released, m)
			}
		}
		reports[sh.Group] = r
	}
	return reports
}

// maxSteps ends a plan that would not come to rest.
const maxSteps = 1000

// PlanMoves makes the moves that the control plane would, one after the other, with
// some stores lost for long and every learner caught up in time.
func (s *State) PlanMoves(lost map[ids.Node]bool) (out []Step) {
	for len(out) < maxSteps {
		moves := s.Moves(s.simulatedReports(lost, true))
		if len(moves) == 0 {
			break
		}
		for _, move := range moves {
			out = append(out, stepOf(move))
			s.run(&move)
		}
		for i := range s.Shards {
			s.Shards[i].Members = s.Shards[i].Voters
		}
	}
	return out
}

func stepOf(move Command) Step {
	step := Step{Shard: move.Group, To: move.To.Node}
	switch move.Verb {
	case Follow:
		step.Do = "follow until caught up"
	case Promote:
		step.Do = "become a voter, in force WND instances later, wait until caught up"
		step.From = move.From.Node
	case AddVoter:
		step.Do = "become one more voter, in force WND instances later, wait until caught up"
	case Drop:
		step.Do = "stop following"
		step.From = move.To.Node
		step.To = ""
	}
	return step
}
