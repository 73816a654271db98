package topic

import (
	"cmp"
	"slices"

	"oxbowdeck/internal/ids"
)

// duplicateWindow is longer than an edge repeats a Subscribe, and a copy of it may be
// on its way.
const duplicateWindow = ids.Millis(20000)

// EdgeIncarnation is one incarnation of an edge.
type EdgeIncarnation struct {
	Edge        ids.Node
	Incarnation ids.Incarnation
}

// compare orders by edge, then incarnation.
func (e EdgeIncarnation) compare(other EdgeIncarnation) int {
	return cmp.Or(cmp.Compare(e.Edge, other.Edge), cmp.Compare(e.Incarnation, other.Incarnation))
}

// subscription is where a client's subscription to a topic is held.
type subscription struct {
	_           struct{} `cbor:",toarray"`
	Edge        ids.Node
	Incarnation ids.Incarnation
	Conn        uint64
}

// heldBy tells whether an incarnation of an edge holds a subscription.
func (x subscription) heldBy(edge EdgeIncarnation) bool {
	return x.Edge == edge.Edge && x.Incarnation == edge.Incarnation
}

// subscriptionKey names a client's subscriptions to a topic at one incarnation of an
// edge.
type subscriptionKey struct {
	_           struct{} `cbor:",toarray"`
	Topic       ids.Topic
	Client      ids.Client
	Edge        ids.Node
	Incarnation ids.Incarnation
}

// compare orders keys by their fields.
func (k subscriptionKey) compare(other subscriptionKey) int {
	return cmp.Or(
		cmp.Compare(k.Topic, other.Topic),
		cmp.Compare(k.Client, other.Client),
		cmp.Compare(k.Edge, other.Edge),
		cmp.Compare(k.Incarnation, other.Incarnation),
	)
}

// endedSubscription is the last of them that ended. A copy of its Subscribe that
// comes later subscribes nobody.
type endedSubscription struct {
	_    struct{} `cbor:",toarray"`
	Conn uint64
	At   ids.Millis
}

// subscriptionKeyOf gives the key of a command's subscription.
func subscriptionKeyOf(command *Command) subscriptionKey {
	return subscriptionKey{
		Topic:       command.Topic,
		Client:      command.Client,
		Edge:        command.Edge,
		Incarnation: command.Incarnation,
	}
}

// subscribe takes up a subscription, unless the command is a copy that is late.
func (s *State) subscribe(command *Command) {
	edge := EdgeIncarnation{Edge: command.Edge, Incarnation: command.Incarnation}
	clients := s.subscriptions[command.Topic]
	current := clients[command.Client]
	ended, known := s.endedSubscriptions[subscriptionKeyOf(command)]
	if known && command.Conn <= ended.Conn {
		return
	}
	if current.heldBy(edge) && command.Conn < current.Conn {
		return
	}
	if clients == nil {
		clients = map[ids.Client]subscription{}
		s.subscriptions[command.Topic] = clients
	}
	clients[command.Client] = subscription{
		Edge:        command.Edge,
		Incarnation: command.Incarnation,
		Conn:        command.Conn,
	}
}

// unsubscribe ends a subscription, if it is still the client's, and remembers that.
func (s *State) unsubscribe(command *Command) {
	key := subscriptionKeyOf(command)
	s.endedSubscriptions[key] = endedSubscription{
		Conn: max(command.Conn, s.endedSubscriptions[key].Conn),
		At:   s.Clock(),
	}
	clients := s.subscriptions[command.Topic]
	current := clients[command.Client]
	edge := EdgeIncarnation{Edge: command.Edge, Incarnation: command.Incarnation}
	if current.heldBy(edge) && current.Conn == command.Conn {
		delete(clients, command.Client)
	}
	if len(clients) == 0 {
		delete(s.subscriptions, command.Topic)
	}
}

// endEdge ends all subscriptions that an incarnation of an edge holds.
func (s *State) endEdge(edge EdgeIncarnation) {
	for topic, clients := range s.subscriptions {
		for client, x := range clients {
			if x.heldBy(edge) {
				delete(clients, client)
			}
		}
		if len(clients) == 0 {
			delete(s.subscriptions, topic)
		}
	}
}

// forgetEndedSubscriptions drops those of which no copy can be on its way any more.
func (s *State) forgetEndedSubscriptions() {
	for key, ended := range s.endedSubscriptions {
		if s.Clock()-ended.At > duplicateWindow {
			delete(s.endedSubscriptions, key)
		}
	}
}

// Count is how many clients subscribe to a topic.
func (s *State) Count(topic ids.Topic) int { return len(s.subscriptions[topic]) }

// Edges lists the edge incarnations that hold subscriptions, in a fixed order.
func (s *State) Edges() []EdgeIncarnation {
	found := map[EdgeIncarnation]bool{}
	for _, clients := range s.subscriptions {
		for _, x := range clients {
			found[EdgeIncarnation{Edge: x.Edge, Incarnation: x.Incarnation}] = true
		}
	}
	edges := make([]EdgeIncarnation, 0, len(found))
	for edge := range found {
		edges = append(edges, edge)
	}
	slices.SortFunc(edges, EdgeIncarnation.compare)
	return edges
}
