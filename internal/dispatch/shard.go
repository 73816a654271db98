package dispatch

import (
	"maps"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/queue"
)

// reservationDeadlines is after how many start deadlines a reservation whose
// beginning was not decided is given up.
const reservationDeadlines = 4

// Shard is one group's messages at this process: the agreed state, and, while it
// leads, what is ready, reserved and under way.
type Shard struct {
	host         *Host
	group        ids.Group
	state        *queue.State
	leading      bool
	leader       ids.Node
	rescan       bool // look at every message anew
	timers       timers
	ready        map[string]*readyQueue // due messages, by service
	reservations map[ids.Position]*reservation
	beginnings   []queue.Attempt              // not submitted yet
	ends         map[ids.Position]*pendingEnd // not decided yet
	backoffs     map[ids.Position]*backoff
	nextSubmit   ids.Millis
	notices      notices
	sequences    map[string]ids.Position // whose attempt is under way from here
	open         openAttempts            // of all processes
}

func newShard(host *Host, group ids.Group) *Shard {
	bounds := queue.Bounds{Report: host.Bounds.ReportFor, Sweep: queue.SweepEvery}
	return &Shard{
		host:         host,
		group:        group,
		state:        queue.New(bounds),
		ready:        map[string]*readyQueue{},
		reservations: map[ids.Position]*reservation{},
		ends:         map[ids.Position]*pendingEnd{},
		backoffs:     map[ids.Position]*backoff{},
		notices:      newNotices(),
		sequences:    map[string]ids.Position{},
		open:         openAttempts{},
	}
}

// Apply runs a decided instance. With Save, Load, Size and Clock it makes a shard
// the group's replication.Machine.
func (s *Shard) Apply(d paxos.Decided) { s.state.Apply(d, s.handle) }

// Save gives the state as bytes.
func (s *Shard) Save() ([]byte, error) { return s.state.Save() }

// Load takes over a state that Save gave.
func (s *Shard) Load(b []byte) error {
	err := s.state.Load(b)
	s.rescan = true
	s.open.reset(s.state)
	return err
}

// Size is about how many bytes the state takes.
func (s *Shard) Size() int { return s.state.Bytes() }

// Clock is the decided time.
func (s *Shard) Clock() ids.Millis { return s.state.Clock() }

// handle takes what was decided.
func (s *Shard) handle(event queue.Event) {
	now := s.host.Now()
	switch event.Verb {
	case queue.Accept:
		s.notices.accepted(event.ID)
		if s.leading && event.OK {
			s.schedule(now, event.Row)
		}
	case queue.Begin:
		s.open.began(event)
		s.beginDecided(now, event)
	case queue.End:
		s.open.ended(event)
		s.endDecided(now, event)
	case queue.Reserve:
		if s.host.Reserved != nil {
			s.host.Reserved(s.group, event.Reserve, event.Granted)
		}
	}
}

// step does what is due; it returns when it is next needed.
func (s *Shard) step(now ids.Millis) ids.Millis {
	group := s.host.Group(s.group)
	if group == nil {
		return now + stepInterval
	}
	s.notices.send()
	leader, leading := group.Lead()
	s.noteLeader(now, leader, leading)
	if leading {
		s.runDue(now)
		s.reserveReady(now)
	}
	next := now + stepInterval
	if now < s.nextSubmit {
		if len(s.beginnings)+len(s.ends) > 0 {
			next = s.nextSubmit
		}
	} else if s.submitAttempts(now, group) {
		s.nextSubmit = now + s.host.Bounds.BatchDelay
	}
	s.releaseOverdue(now)
	if s.leading {
		next = min(next, s.nextScheduled(now))
	}
	return max(next, now+1)
}

// noteLeader takes up who leads. What the leader before was told may be lost with
// it, so the ends of attempts are submitted again.
func (s *Shard) noteLeader(now ids.Millis, leader ids.Node, leading bool) {
	if leader != s.leader {
		s.leader = leader
		s.nextSubmit = now
		for _, end := range s.ends {
			end.submitted = false
		}
	}
	if leading == s.leading {
		return
	}
	s.leading = leading
	s.rescan = leading
	if !leading {
		s.resetSchedule()
		s.beginnings = nil
		clear(s.backoffs)
		s.notices.drop()
	}
}

// releaseOverdue gives up reservations whose beginning was never decided, or will
// not be sent.
func (s *Shard) releaseOverdue(now ids.Millis) {
	for _, pos := range slices.Sorted(maps.Keys(s.reservations)) {
		r := s.reservations[pos]
		if !r.running && now-r.at > reservationDeadlines*s.host.Bounds.StartDeadline {
			s.release(pos)
			s.scheduleAt(now, pos)
		}
	}
}
