package topic

import (
	"cmp"
	"slices"

	"oxbowdeck/internal/ids"
)

// sweep lets go of what is older than it must be kept.
func (s *State) sweep() {
	withoutHistory := 0
	for _, t := range s.topics {
		s.trim(t)
		if len(t.Items) == 0 {
			withoutHistory++
		}
	}
	s.forgetEndedSubscriptions()
	if withoutHistory > s.Bounds.Topics {
		s.forgetTopics(withoutHistory - s.Bounds.Topics/2)
	}
	if len(s.publishers) > s.Bounds.Publishers {
		s.forgetPublishers(len(s.publishers) - s.Bounds.Publishers/2)
	}
	if clients := s.Clients(); clients > s.Bounds.Clients {
		s.forgottenClients.shorten(clients-s.Bounds.Clients/2, s.Bounds.Late)
		s.forgotten.Clients += clients - s.Clients()
	}
}

// trim lets go of a topic's messages that were kept for long enough.
func (s *State) trim(t *Topic) {
	count := 0
	for i := range t.Items {
		item := &t.Items[i]
		if s.Clock()-item.At <= item.Keep+s.Bounds.Slack {
			break
		}
		s.bytes -= item.size()
		t.Trimmed = item.Pos
		count++
	}
	if count > 0 {
		t.Items = append([]Item(nil), t.Items[count:]...)
	}
}

// forgetTopics drops the oldest topics without history. Their last places stay.
func (s *State) forgetTopics(count int) {
	type bareTopic struct {
		name ids.Topic
		pos  ids.Position
	}
	var bare []bareTopic
	for name, t := range s.topics {
		if len(t.Items) == 0 {
			bare = append(bare, bareTopic{name, t.Trimmed})
		}
	}
	slices.SortFunc(bare, func(a, b bareTopic) int {
		return cmp.Or(cmp.Compare(a.pos, b.pos), cmp.Compare(a.name, b.name))
	})
	quiet := make([]quietTopic, count)
	for i, t := range bare[:count] {
		quiet[i] = quietTopic{digest: digestOf(t.name), trimmed: t.pos}
		delete(s.topics, t.name)
	}
	s.quiet.add(quiet)
	s.forgotten.Topics += count
	if before := s.quiet.count; before > s.Bounds.Quiet {
		s.forgottenUpTo = max(s.forgottenUpTo, s.quiet.shorten(before-s.Bounds.Quiet/2))
		s.forgotten.Quiet += before - s.quiet.count
	}
}

// forgetPublishers drops so many of those that were accepted from longest ago, as far as no
// repeat of theirs is answered any more. Their clients' highest numbers stay.
func (s *State) forgetPublishers(count int) {
	type idlePublisher struct {
		key publisherKey
		at  ids.Millis
	}
	var idle []idlePublisher
	for key, p := range s.publishers {
		if s.Clock()-p.At > s.Bounds.Resend {
			idle = append(idle, idlePublisher{key, p.At})
		}
	}
	slices.SortFunc(idle, func(a, b idlePublisher) int {
		return cmp.Or(cmp.Compare(a.at, b.at), a.key.compare(b.key))
	})
	for _, p := range idle[:min(count, len(idle))] {
		s.forgottenClients.add(p.key.Client, s.publishers[p.key])
		delete(s.publishers, p.key)
		s.forgotten.Publishers++
	}
}
