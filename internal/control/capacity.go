package control

import (
	"fmt"
	"strings"

	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// usableStores counts the stores that can be given duties.
func (s *State) usableStores() (n int) {
	for i := range s.Nodes {
		x := &s.Nodes[i]
		if x.Role == controlapi.Store && !x.Gone && !x.Empty {
			n++
		}
	}
	return n
}

// found places the shards, once. Fewer stores than 2·losses+1 are enough only where
// the command says so; the shards then grow as stores join.
func (s *State) found(c *Command) bool {
	if len(s.Shards) > 0 {
		return false
	}
	wanted := 2*c.Losses + 1
	voters := wanted
	if c.Fewer {
		voters = min(wanted, s.usableStores())
	}
	s.Shards = placeVoters(s.Nodes, c.Shards, voters)
	for i := range s.Shards {
		s.Shards[i].Group, s.Shards[i].At = ids.Group(i), s.Slot
	}
	if len(s.Shards) > 0 && voters < wanted {
		s.WantedVoters = wanted
	}
	return len(s.Shards) > 0
}

// tooFewVoters tells whether a shard was founded with too few voters and has not
// grown to the number wanted yet.
func (s *State) tooFewVoters(sh *controlapi.Shard) bool { return len(sh.Voters) < s.WantedVoters }

// addVoter gives the next step of a shard that has too few voters: a follower that is
// level becomes a voter, else a store begins to follow. underWay tells that such a
// step follows or is awaited.
func (s *State) addVoter(sh *controlapi.Shard, r Report, load map[ids.Node]int) (c Command, underWay bool) {
	if !s.tooFewVoters(sh) {
		return Command{}, false
	}
	zones := s.votersByZone(sh, paxos.Member{})
	var ready, free []*controlapi.Node
	for i := range s.Nodes {
		n := &s.Nodes[i]
		if n.Role != controlapi.Store || s.usable(n.Addr) == nil || paxos.ContainsNode(sh.Voters, n.Addr) {
			continue
		}
		m := paxos.Member{ID: n.Num, Node: n.Addr}
		switch {
		case !paxos.ContainsNode(sh.Learners, n.Addr):
			free = append(free, n)
		case index(r.Ready, m) >= 0:
			ready = append(ready, n)
		default:
			underWay = true
		}
	}
	if n := nearest(ready, "", zones, load); n != nil {
		return Command{Verb: AddVoter, Group: sh.Group, To: paxos.Member{ID: n.Num, Node: n.Addr}}, true
	}
	if underWay {
		return Command{}, true
	}
	if n := nearest(free, "", zones, load); n != nil {
		load[n.Addr] += learnerLoad
		return follow(sh, n), true
	}
	return Command{}, false
}

// Shortfall says in one line what a deployment lacks to serve, or to bear the losses
// that it is to bear; empty when it lacks nothing.
func (s *State) Shortfall(controlVoters, losses int) string {
	var lacks []string
	wanted := 2*losses + 1
	live := map[controlapi.Role]int{}
	for _, n := range s.Nodes {
		if !n.Gone {
			live[n.Role]++
		}
	}
	if controlVoters < wanted {
		lacks = append(lacks, fmt.Sprintf(
			"control group has %d of %d voters: serves with %d control machines down, %d wanted",
			controlVoters, wanted, (controlVoters-1)/2, losses))
	}
	if text := s.StoreShortfall(losses); text != "" {
		lacks = append(lacks, text)
	}
	if live[controlapi.Edge] == 0 {
		lacks = append(lacks, "no edge is enrolled: no client can be served")
	}
	return strings.Join(lacks, "; ")
}

// StoreShortfall says in one line what the stores and shards lack.
func (s *State) StoreShortfall(losses int) string {
	wanted := 2*losses + 1
	stores, voters := s.usableStores(), s.fewestVoters()
	switch {
	case len(s.Shards) == 0 && stores == 0:
		return fmt.Sprintf("no store is enrolled, %d wanted: nothing can be accepted", wanted)
	case len(s.Shards) == 0 && stores < wanted:
		return fmt.Sprintf("%d of %d stores are enrolled: shards are founded once no further one came for %d ms",
			stores, wanted, foundFewerAfter)
	case len(s.Shards) > 0 && voters < wanted:
		copies := paxos.CopiesNeeded(voters, losses+1)
		return fmt.Sprintf("shards have %d of %d voters: messages outlast the loss of %d disks "+
			"and are accepted with %d stores down, %d wanted",
			voters, wanted, copies-1, voters-copies, losses)
	}
	return ""
}

// shortfallLog is what a leader last saw missing, and whether it has logged that.
type shortfallLog struct {
	text   string
	since  ids.Millis
	logged bool
}

// logShortfallAfter is how long something must be missing before it is logged: while
// a deployment starts, much is missing for a moment.
const logShortfallAfter = ids.Millis(3000)

// shortfall says in one line what is missing as far as this process can tell: one
// that is not in touch with a majority of the control group knows of that alone.
func (c *Control) shortfall() string {
	voters := len(c.core.Voters())
	if !c.current() {
		return fmt.Sprintf("no majority of the control group's %d voters is in touch: "+
			"%d must run and reach each other", voters, voters/2+1)
	}
	return c.state.Shortfall(voters, c.conf.Losses)
}

// logShortfall logs one line whenever what is missing has changed, and when nothing
// is missing any more. One that follows a leader leaves it to that.
func (c *Control) logShortfall() {
	text := c.shortfall()
	if c.core.Role() != paxos.Leader && c.current() {
		text = ""
	}
	if text != c.short.text {
		if text == "" && c.short.logged {
			c.out.Log("capacity-complete")
		}
		c.short = shortfallLog{text: text, since: c.now}
	}
	if text != "" && !c.short.logged && c.now-c.short.since >= logShortfallAfter {
		c.short.logged = true
		c.out.Log("capacity-short", "missing", text)
	}
}

// fewestVoters is the size of the shard with the fewest voters.
func (s *State) fewestVoters() int {
	least := 0
	for i, sh := range s.Shards {
		if i == 0 || len(sh.Voters) < least {
			least = len(sh.Voters)
		}
	}
	return least
}
