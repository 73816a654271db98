package store

import (
	"log/slog"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/proposals"
	"oxbowdeck/internal/quota"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/topic"
	"oxbowdeck/internal/transport"
)

// topicShards owns the table of the state machines of topics that are held here;
// it is empty in a deployment that takes in messages.
type topicShards struct {
	bounds    topic.Bounds
	followers *followers
	byGroup   map[ids.Group]*topicShard
	// reserved takes it that a reservation was applied.
	reserved func(ids.Group, *quota.Reserve, int)
}

func newTopicShards(bounds topic.Bounds, followers *followers) *topicShards {
	return &topicShards{bounds: bounds, followers: followers, byGroup: map[ids.Group]*topicShard{}}
}

func (t *topicShards) newShard(group ids.Group) *topicShard {
	return &topicShard{group: group, state: topic.New(t.bounds), followers: t.followers, reserved: t.reserved}
}

func (t *topicShards) add(group ids.Group, shard *topicShard) { t.byGroup[group] = shard }

func (t *topicShards) remove(group ids.Group) { delete(t.byGroup, group) }

// find gives the state machine of a group, or nil.
func (t *topicShards) find(group ids.Group) *topicShard { return t.byGroup[group] }

// topicShard is a group's state machine: it applies the decided order to the topics
// and queues what is decided for the followers.
type topicShard struct {
	group     ids.Group
	state     *topic.State
	followers *followers
	reserved  func(ids.Group, *quota.Reserve, int)
}

// Apply runs a decided instance.
func (s *topicShard) Apply(decided paxos.Decided) {
	before := s.state.Forgotten()
	s.state.Apply(decided, s.publishEvent)
	if s.state.Forgotten() != before {
		s.logForgotten(before)
	}
}

// logForgotten tells the log what the state let go of because its tables were full.
func (s *topicShard) logForgotten(before topic.Forgotten) {
	now := s.state.Forgotten()
	slog.Info("tables-full", "group", s.group,
		"publishers_forgotten", now.Publishers-before.Publishers, "publishers", s.state.Publishers(),
		"clients_forgotten", now.Clients-before.Clients, "clients", s.state.Clients(),
		"topics_forgotten", now.Topics-before.Topics, "topics", s.state.Topics(),
		"quiet_forgotten", now.Quiet-before.Quiet, "quiet", s.state.Quiet())
}

// Size is about how many bytes a snapshot takes.
func (s *topicShard) Size() int { return s.state.Bytes() }

// Clock is the decided time of the state.
func (s *topicShard) Clock() ids.Millis { return s.state.Clock() }

// Save gives a snapshot.
func (s *topicShard) Save() ([]byte, error) { return s.state.Save() }

// Load takes a snapshot. Followers must begin again: what it skips was not sent to
// them.
func (s *topicShard) Load(snapshot []byte) error {
	if err := s.state.Load(snapshot); err != nil {
		return err
	}
	s.followers.restartGroup(s.group)
	return nil
}

// publishEvent queues what a decided command means to the followers.
func (s *topicShard) publishEvent(event topic.Event) {
	if event.Cmd.Verb == topic.Reserve {
		s.reserved(s.group, event.Cmd.Reserve, event.Granted)
		return
	}
	if event.Verdict == topic.Fresh {
		s.followers.addMessage(shardapi.Item{
			Topic:  event.Cmd.Topic,
			Pos:    event.Pos,
			Client: event.Cmd.Client,
			Seq:    event.Cmd.Seq,
			Body:   event.Cmd.Body,
		})
	}
	s.followers.addOutcome(event.Cmd.Edge, s.group, event.ID, event.Verdict)
}

// propose puts the requests of an edge to the leader of their group.
func (d *Daemon) propose(link *transport.Link, proposal shardapi.Propose) {
	d.answer(link, proposal.Group, proposals.Submit(proposal, d.proposalHandler(link, proposal)))
}

// answer tells an edge what became of requests that it put to a group.
func (d *Daemon) answer(link *transport.Link, group ids.Group, answer proposals.Answer) {
	if answer.Denied() {
		d.recordRefused(link.Peer().Node, group, answer)
	}
	if d.queue != nil {
		d.queue.Answer(link, group, answer)
		return
	}
	answer.Send(link)
}

// proposalHandler is how the requests of a proposal are treated.
func (d *Daemon) proposalHandler(link *transport.Link, proposal shardapi.Propose) proposals.Handler {
	if d.queue != nil {
		return d.queue.Handler(link, proposal.Group)
	}
	return proposals.Handler{
		Decided: func(request paxos.Request) (shardapi.Outcome, bool) {
			verdict, ok := d.shards.decided(proposal.Group, request)
			return shardapi.Outcome{ID: request.ID, Verdict: verdict}, ok
		},
		Submit: func(request paxos.Request) error {
			return d.submit(proposal.Group, request, proposal.Urgent)
		},
	}
}

// decided looks a publish that is forwarded again up in the state applied here: its
// outcome may be on the way to the edge, behind a packet that was lost.
func (t *topicShards) decided(group ids.Group, request paxos.Request) (topic.Verdict, bool) {
	shard := t.find(group)
	if shard == nil {
		return 0, false
	}
	var command topic.Command
	if codec.Unmarshal(request.Data, &command) != nil || command.Verb != topic.Publish {
		return 0, false
	}
	return shard.state.Known(command.Client, command.Topic, command.Seq)
}
