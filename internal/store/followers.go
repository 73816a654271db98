package store

import (
	"maps"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/shardapi"
	"oxbowdeck/internal/topic"
	"oxbowdeck/internal/transport"
)

// follower is an edge that is sent the decided order of some groups over a link.
type follower struct {
	link   *transport.Link
	edge   ids.Node
	groups map[ids.Group]bool
	topics map[ids.Topic]bool
	pieces bool          // the edge takes large answers in pieces
	flow   shardapi.Flow // what is decided and not sent yet
}

// flush sends what is decided and not sent yet.
func (f *follower) flush() {
	if len(f.flow.Items)+len(f.flow.Outcomes) > 0 {
		f.link.Send(shardapi.KindFlow, f.flow)
		f.flow = shardapi.Flow{}
	}
}

// followers owns the table of the edges that follow groups here, with the topics
// that each watches.
type followers struct {
	byLink  map[*transport.Link]*follower
	byEdge  map[ids.Node]*follower
	byTopic map[ids.Topic]map[*follower]bool
	leads   map[ids.Group]shardapi.Lead // told to each that begins to follow
	groupOf func(ids.Topic) ids.Group
}

func newFollowers(groupOf func(ids.Topic) ids.Group) *followers {
	return &followers{
		byLink:  map[*transport.Link]*follower{},
		byEdge:  map[ids.Node]*follower{},
		byTopic: map[ids.Topic]map[*follower]bool{},
		leads:   map[ids.Group]shardapi.Lead{},
		groupOf: groupOf,
	}
}

func (t *followers) links() []*transport.Link { return slices.Collect(maps.Keys(t.byLink)) }

// find gives the follower at a link, or nil.
func (t *followers) find(link *transport.Link) *follower { return t.byLink[link] }

// stale tells whether an edge has left a link for a later one: what it asked over
// the earlier link comes late.
func (t *followers) stale(link *transport.Link, edge ids.Node) bool {
	f := t.byEdge[edge]
	return f != nil && link.Before(f.link)
}

// follow begins to send a group's decided order over a link, from now on; ready
// tells whether the replica here can serve it.
func (t *followers) follow(link *transport.Link, request shardapi.Follow, ready bool) {
	if f := t.byLink[link]; f != nil {
		f.flush()
		t.unfollow(f, request.Group)
	}
	link.Send(shardapi.KindFollowed, shardapi.Followed{Group: request.Group, Ready: ready})
	if !ready {
		return
	}
	f := t.byLink[link]
	if f == nil {
		f = &follower{
			link:   link,
			edge:   request.Edge,
			groups: map[ids.Group]bool{},
			topics: map[ids.Topic]bool{},
		}
		t.byLink[link] = f
		t.byEdge[request.Edge] = f
	}
	f.groups[request.Group] = true
	for _, lead := range t.leads {
		link.Send(shardapi.KindLead, lead)
	}
}

// unfollow ends a link's following of a group.
func (t *followers) unfollow(f *follower, group ids.Group) {
	delete(f.groups, group)
	for topic := range f.topics {
		if t.groupOf(topic) == group {
			t.unwatch(f, topic)
		}
	}
	if len(f.groups) == 0 {
		delete(t.byLink, f.link)
		if t.byEdge[f.edge] == f {
			delete(t.byEdge, f.edge)
		}
	}
}

// unfollowAll ends a link's following of some groups.
func (t *followers) unfollowAll(f *follower, groups []ids.Group) {
	for _, group := range groups {
		t.unfollow(f, group)
	}
}

// watch begins to send the messages of a topic.
func (t *followers) watch(f *follower, topic ids.Topic) {
	f.topics[topic] = true
	if t.byTopic[topic] == nil {
		t.byTopic[topic] = map[*follower]bool{}
	}
	t.byTopic[topic][f] = true
}

// unwatch ends the messages of a topic.
func (t *followers) unwatch(f *follower, topic ids.Topic) {
	delete(f.topics, topic)
	delete(t.byTopic[topic], f)
	if len(t.byTopic[topic]) == 0 {
		delete(t.byTopic, topic)
	}
}

// linkDown ends all that was followed over a link.
func (t *followers) linkDown(link *transport.Link) {
	if f := t.byLink[link]; f != nil {
		for group := range f.groups {
			t.unfollow(f, group)
		}
	}
}

// restartGroup sends the followers of a group away, because the state here skipped
// what was not sent to them: they begin again.
func (t *followers) restartGroup(group ids.Group) {
	for _, f := range t.byLink {
		if f.groups[group] {
			t.dismiss(f, group)
		}
	}
}

// closeGroup tells all followers that a group is not held here any more.
func (t *followers) closeGroup(group ids.Group) {
	for _, f := range t.byLink {
		t.dismiss(f, group)
	}
	delete(t.leads, group)
}

// dismiss ends a following from this side.
func (t *followers) dismiss(f *follower, group ids.Group) {
	t.unfollow(f, group)
	f.link.Send(shardapi.KindBye, shardapi.Bye{Groups: []ids.Group{group}})
}

// closeAll sends all followers away with what is decided.
func (t *followers) closeAll() {
	for link, f := range t.byLink {
		f.flush()
		link.Send(shardapi.KindBye, shardapi.Bye{Groups: slices.Collect(maps.Keys(f.groups))})
	}
}

// leaderChanged tells all followers who leads a group.
func (t *followers) leaderChanged(lead shardapi.Lead) {
	t.leads[lead.Group] = lead
	for _, f := range t.byLink {
		f.link.Send(shardapi.KindLead, lead)
	}
}

// addMessage queues a decided message for those that watch its topic.
func (t *followers) addMessage(item shardapi.Item) {
	for f := range t.byTopic[item.Topic] {
		f.flow.Items = append(f.flow.Items, item)
	}
}

// addOutcome queues the outcome of a request for the edge that forwarded it.
func (t *followers) addOutcome(edge ids.Node, group ids.Group, id paxos.ID, verdict topic.Verdict) {
	if f := t.byEdge[edge]; f != nil && f.groups[group] {
		f.flow.Outcomes = append(f.flow.Outcomes, shardapi.Outcome{ID: id, Verdict: verdict})
	}
}

// flush sends all followers what is decided.
func (t *followers) flush() {
	for _, f := range t.byLink {
		f.flush()
	}
}
