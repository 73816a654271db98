package topic

import (
	"errors"
	"maps"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/statemachine"
)

// What a snapshot takes beside the history's bytes.
const (
	snapshotOverhead = 8  // divisor of the history's bytes
	publisherBytes   = 48 // of a publisher's row
)

// header begins a saved state: so many rows of topics, publishers and subscriptions
// follow, each in a fixed order, then a list of ended subscriptions, the accounts of
// tenants, the forgotten clients, and the quiet topics.
type header struct {
	_ struct{} `cbor:",toarray"`
	statemachine.Progress
	ForgottenUpTo ids.Position
	Topics        int
	Publishers    int
	Subscriptions int
}

type topicRow struct {
	_     struct{} `cbor:",toarray"`
	Name  ids.Topic
	Topic *Topic
}

type publisherRow struct {
	_         struct{} `cbor:",toarray"`
	Key       publisherKey
	Publisher *publisher
}

type subscriptionRow struct {
	_            struct{} `cbor:",toarray"`
	Topic        ids.Topic
	Client       ids.Client
	Subscription subscription
}

type endedSubscriptionRow struct {
	_     struct{} `cbor:",toarray"`
	Key   subscriptionKey
	Ended endedSubscription
}

// Errors of rows whose content is missing.
var (
	errNoTopic     = errors.New("a topic without content")
	errNoPublisher = errors.New("a publisher without content")
)

// Save writes the whole state: equal states give equal bytes.
func (s *State) Save() ([]byte, error) {
	size := s.bytes + s.bytes/snapshotOverhead + len(s.publishers)*publisherBytes
	w := statemachine.NewSnapshotWriter(size)
	w.Write(s.header())
	for _, name := range slices.Sorted(maps.Keys(s.topics)) {
		w.Write(topicRow{Name: name, Topic: s.topics[name]})
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.publishers), publisherKey.compare) {
		w.Write(publisherRow{Key: key, Publisher: s.publishers[key]})
	}
	for _, topic := range slices.Sorted(maps.Keys(s.subscriptions)) {
		clients := s.subscriptions[topic]
		for _, client := range slices.Sorted(maps.Keys(clients)) {
			w.Write(subscriptionRow{Topic: topic, Client: client, Subscription: clients[client]})
		}
	}
	w.Write(s.endedSubscriptionRows())
	s.saveLaterParts(w)
	return w.Bytes()
}

// saveLaterParts appends what earlier versions did not have. Parts at the end that are empty are
// left out: without them the form is that of versions before.
func (s *State) saveLaterParts(w *statemachine.SnapshotWriter) {
	quiet := s.quiet.count > 0
	forgotten := quiet || !s.forgottenClients.empty()
	if forgotten || s.accounts.Len() > 0 {
		s.accounts.Save(w)
	}
	if forgotten {
		s.forgottenClients.save(w)
	}
	if quiet {
		s.quiet.save(w)
	}
}

// header gives the header of the state.
func (s *State) header() header {
	h := header{
		Progress:      s.progress,
		ForgottenUpTo: s.forgottenUpTo,
		Topics:        len(s.topics),
		Publishers:    len(s.publishers),
	}
	for _, clients := range s.subscriptions {
		h.Subscriptions += len(clients)
	}
	return h
}

// endedSubscriptionRows lists the ended subscriptions in a fixed order.
func (s *State) endedSubscriptionRows() []endedSubscriptionRow {
	rows := make([]endedSubscriptionRow, 0, len(s.endedSubscriptions))
	for key, ended := range s.endedSubscriptions {
		rows = append(rows, endedSubscriptionRow{Key: key, Ended: ended})
	}
	slices.SortFunc(rows, func(a, b endedSubscriptionRow) int { return a.Key.compare(b.Key) })
	return rows
}

// Load replaces the state by a saved one; a damaged one changes nothing.
func (s *State) Load(snapshot []byte) error {
	var h header
	r, err := statemachine.OpenSnapshot(snapshot, &h)
	if err != nil {
		return err
	}
	loaded := New(s.Bounds)
	loaded.progress = h.Progress
	loaded.forgotten = s.forgotten
	loaded.forgottenUpTo = h.ForgottenUpTo
	if err := statemachine.ReadRows(r, "topic", h.Topics, loaded.loadTopic); err != nil {
		return err
	}
	if err := statemachine.ReadRows(r, "publisher", h.Publishers, loaded.loadPublisher); err != nil {
		return err
	}
	if err := statemachine.ReadRows(r, "subscription", h.Subscriptions, loaded.loadSubscription); err != nil {
		return err
	}
	if err := loaded.loadEndedSubscriptions(r); err != nil {
		return err
	}
	if err := loaded.accounts.Load(r); err != nil {
		return err
	}
	if err := loaded.forgottenClients.load(r); err != nil {
		return err
	}
	if err := loaded.quiet.load(r); err != nil {
		return err
	}
	*s = *loaded
	return nil
}

func (s *State) loadTopic(row topicRow) error {
	if row.Topic == nil {
		return errNoTopic
	}
	s.topics[row.Name] = row.Topic
	for i := range row.Topic.Items {
		s.bytes += row.Topic.Items[i].size()
	}
	return nil
}

func (s *State) loadPublisher(row publisherRow) error {
	if row.Publisher == nil {
		return errNoPublisher
	}
	s.publishers[row.Key] = row.Publisher
	return nil
}

func (s *State) loadSubscription(row subscriptionRow) error {
	clients := s.subscriptions[row.Topic]
	if clients == nil {
		clients = map[ids.Client]subscription{}
		s.subscriptions[row.Topic] = clients
	}
	clients[row.Client] = row.Subscription
	return nil
}

// loadEndedSubscriptions reads the list at the end; older snapshots have none.
func (s *State) loadEndedSubscriptions(r *statemachine.SnapshotReader) error {
	var rows []endedSubscriptionRow
	if found, err := r.ReadLater("ended subscriptions", &rows); !found {
		return err
	}
	for _, row := range rows {
		s.endedSubscriptions[row.Key] = row.Ended
	}
	return nil
}
