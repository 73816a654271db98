package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// topicMessage is a message as its sender knows it.
type topicMessage struct {
	sender, topic, body string
	tenant              string
	first               time.Time
	tries               map[uint64]bool // by number; true: turned away for good
	delivered           map[uint64]bool // numbers under which somebody got it
	ackedAt             time.Time
	ackedSeq            uint64
}

// TopicHistory is what all topic clients sent and got.
type TopicHistory struct {
	*History

	mu            sync.Mutex
	messages      map[string]*topicMessage // by body
	subscriptions []*subscription
	tenants       map[string]string // of clients, by name
	took          []time.Duration   // from a message's first try to its acknowledgement
}

func newTopicHistory(h *History) *TopicHistory {
	return &TopicHistory{History: h, messages: map[string]*topicMessage{}, tenants: map[string]string{}}
}

// Lengths of bodies, in bytes.
const (
	minBody   = 20
	meanBody  = 200
	largeBody = 16 << 10
)

// begin makes a message that is to be published.
func (h *TopicHistory) begin(sender, topic string, seq uint64, random *rand.Rand) *topicMessage {
	body := fmt.Sprintf("%s.%d.%x.", sender, seq, random.Uint64())
	length := minBody + random.IntN(2*meanBody)
	if random.IntN(200) == 0 {
		length = largeBody
	}
	if len(body) < length {
		body += strings.Repeat("x", length-len(body))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m := &topicMessage{
		sender: sender, topic: topic, body: body, tenant: h.tenants[sender],
		first: time.Now(), tries: map[uint64]bool{}, delivered: map[uint64]bool{},
	}
	h.messages[body] = m
	h.count("publishes")
	return m
}

// tried notes that a message was sent under a number.
func (h *TopicHistory) tried(m *topicMessage, seq uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, found := m.tries[seq]; !found {
		m.tries[seq] = false
	}
	h.count("publish tries")
}

// acked notes that a message was acknowledged under a number.
func (h *TopicHistory) acked(m *topicMessage, seq uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.tries[seq] {
		h.violate("REFUSED", "%s %s %d was answered RETRY and then ACK", m.sender, m.topic, seq)
	}
	m.ackedAt, m.ackedSeq = time.Now(), seq
	h.took = append(h.took, m.ackedAt.Sub(m.first))
	h.count("publishes acknowledged")
}

// refused notes that a number was turned away for good.
func (h *TopicHistory) refused(m *topicMessage, seq uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m.tries[seq] = true
	if m.delivered[seq] {
		h.violate("REFUSED", "%s %s %d was delivered and then answered RETRY", m.sender, m.topic, seq)
	}
}

// subscription is a client's subscription to a topic, over all its connections.
type subscription struct {
	history *TopicHistory
	client  string
	topic   string

	mu       sync.Mutex
	place    string               // the cursor of the last message, or of the first answer
	since    time.Time            // its first answer; zero: none yet
	lastAt   time.Time            // when something last came over it
	seen     map[string]time.Time // bodies that came, and when
	highest  map[string]uint64    // by sender
	received int

	stays periods // connections that it was held on
}

// subscription makes the record of a client's subscription.
func (h *TopicHistory) subscription(client, topic string) *subscription {
	s := &subscription{
		history: h, client: client, topic: topic,
		seen: map[string]time.Time{}, highest: map[string]uint64{},
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscriptions = append(h.subscriptions, s)
	return s
}

func (s *subscription) retained() bool { return strings.HasPrefix(s.topic, retainedPrefix) }

func (s *subscription) cursor() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.place
}

// newConnection begins a connection: what a live space promises holds for one alone.
func (s *subscription) newConnection(live bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if live {
		s.place = ""
		clear(s.seen)
		clear(s.highest)
	}
}

// begin takes the answer to a SUBSCRIBE.
func (s *subscription) begin(cursor string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		s.since = time.Now()
	}
	if s.place == "" {
		s.place = cursor
	}
	s.lastAt = time.Now()
}

// expirySlack is how much earlier than keep_s a place may be refused: clocks of both sides
// began to count at different moments.
const expirySlack = 2 * time.Second

// expired takes it that a place can't be taken up any more.
func (s *subscription) expired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if age := time.Since(s.lastAt); s.retained() && age < keepSeconds*time.Second-expirySlack {
		s.history.violate("LOST", "%s on %s: EXPIRED, though it was there %v ago", s.client, s.topic, age)
	}
	s.place, s.since = "", time.Time{}
	s.history.count("subscriptions expired")
}

// deliver takes a message.
func (s *subscription) deliver(cursor, sender string, seq uint64, body string) {
	h := s.history
	h.mu.Lock()
	m := h.messages[body]
	var sent, refused, inTopic bool
	if m != nil {
		refused, sent = m.tries[seq]
		inTopic = m.topic == s.topic && m.sender == sender
		m.delivered[seq] = true
	}
	h.mu.Unlock()
	switch {
	case m == nil || !sent || !inTopic:
		h.violate("MIXED", "%s gets %s %d on %s, which nobody sent so", s.client, sender, seq, s.topic)
	case refused:
		h.violate("REFUSED", "%s gets %s %d on %s, which was answered RETRY", s.client, sender, seq, s.topic)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.place, s.lastAt = cursor, time.Now()
	s.received++
	if _, again := s.seen[body]; again {
		h.violate("ORDER", "%s gets %s %d on %s twice", s.client, sender, seq, s.topic)
	} else if seq <= s.highest[sender] {
		h.violate("ORDER", "%s gets %s %d on %s after %d", s.client, sender, seq, s.topic, s.highest[sender])
	}
	s.seen[body] = s.lastAt
	s.highest[sender] = max(s.highest[sender], seq)
	h.count("deliveries")
}

// owed tells whether a message is due to the subscription: it was acknowledged, and first sent
// after the subscription began. Locks of both histories are held.
func (s *subscription) owed(m *topicMessage) bool {
	return m.topic == s.topic && !m.ackedAt.IsZero() && !s.since.IsZero() && m.first.After(s.since)
}

// lacks gives the messages that a subscription is owed and did not get.
func (s *subscription) lacks() (missing []*topicMessage) {
	if !s.retained() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for _, m := range s.history.messages {
		if _, got := s.seen[m.body]; s.owed(m) && !got {
			missing = append(missing, m)
		}
	}
	return missing
}

// complete tells whether every subscription got what it is owed.
func (h *TopicHistory) complete() bool {
	for _, s := range h.subscriptions {
		if len(s.lacks()) > 0 {
			return false
		}
	}
	return true
}

// checkEnd judges what can be told at the end alone.
func (h *TopicHistory) checkEnd() {
	for _, s := range h.subscriptions {
		missing := s.lacks()
		for i, m := range missing {
			if i < 3 {
				h.violate("LOST", "%s never got %s %d on %s, acknowledged %v before the end; %d such",
					s.client, m.sender, m.ackedSeq, m.topic, time.Since(m.ackedAt).Round(time.Millisecond), len(missing))
			}
		}
		if s.received == 0 {
			h.note("%s got nothing on %s", s.client, s.topic)
		}
	}
	h.checkStays()
	h.checkQuotas()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteTimes("acknowledged", h.took)
}
