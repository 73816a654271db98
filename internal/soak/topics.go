package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// What topic clients do.
const (
	retainedPrefix = "keep."
	livePrefix     = "live."
	retainedTopics = 6
	liveTopics     = 2
	keepSeconds    = 35

	topicClients    = 20
	publishPause    = 60 * time.Millisecond // mean pause of one client between two messages
	publishTimeout  = 1500 * time.Millisecond
	messageDeadline = 5 * time.Second // a message is given up after so long
	resendPause     = 40 * time.Millisecond
	keepalivePause  = time.Second
	readTimeout     = 5 * time.Second // 2.5 times ping_s
	maxRetryNumbers = 4               // numbers that a message is tried under
	rejoinMost      = 600 * time.Millisecond
	meanConnection  = 12 * time.Second // clients drop connections of their own will
	meanRest        = 12 * time.Second // clients that rest say so long nothing new
)

// topicsOf lists the topics that a client subscribes to.
func topicsOf(client int) []string {
	return []string{
		fmt.Sprint(retainedPrefix, client%retainedTopics),
		fmt.Sprint(retainedPrefix, (client+1+client/retainedTopics)%retainedTopics),
		fmt.Sprint(livePrefix, client%liveTopics),
	}
}

// topicClient is a client under one name, over one connection after another.
type topicClient struct {
	name    string
	key     string // of its tenant, if any
	topics  []string
	history *TopicHistory
	fronts  func() []string
	random  *rand.Rand
	stop    chan struct{} // closed: nothing more is to be published

	subscriptions map[string]*subscription // by topic
	seq           uint64
	current       *topicMessage // that it is publishing
	rests         bool          // it rests after a message that it had to send over two connections
	resent        bool          // the current message was sent over an earlier connection
	restsUntil    time.Time
}

// newTopicClient makes a client, which runs by run.
func newTopicClient(
	number int, seed uint64, key string, history *TopicHistory, fronts func() []string, stop chan struct{},
) *topicClient {
	c := &topicClient{
		name:          fmt.Sprintf("client%d", number),
		key:           key,
		topics:        topicsOf(number),
		history:       history,
		fronts:        fronts,
		random:        rand.New(rand.NewPCG(seed, uint64(number))),
		stop:          stop,
		subscriptions: map[string]*subscription{},
	}
	for _, topic := range c.topics {
		c.subscriptions[topic] = history.subscription(c.name, topic)
	}
	return c
}

// stopped tells whether the client is to publish no more.
func (c *topicClient) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// run makes one connection after another until over says so.
func (c *topicClient) run(over func() bool) {
	for !over() {
		c.connect(over)
		time.Sleep(time.Duration(c.random.Int64N(int64(rejoinMost))))
	}
}

// session is one connection of a client.
type session struct {
	client *topicClient
	conn   net.Conn
	reader *bufio.Reader
	ends   time.Time // when the client leaves of its own will

	subscribed map[string]bool
	overs      []func()        // what is to be told when the connection ends
	asked      map[string]bool // topics whose subscribers were asked for
	attached   bool
	sentAt     time.Time // of the publish that waits for its answer
	waiting    bool
	nextAt     time.Time // when something is next published
	saidAt     time.Time
	heardAt    time.Time
}

// connect makes a connection and serves it until it ends.
func (c *topicClient) connect(over func() bool) {
	fronts := c.fronts()
	conn, err := net.DialTimeout("tcp", fronts[c.random.IntN(len(fronts))], time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	now := time.Now()
	life := time.Duration(c.random.ExpFloat64() * float64(meanConnection))
	s := &session{
		client: c, conn: conn, reader: bufio.NewReaderSize(conn, 64<<10), ends: now.Add(life),
		subscribed: map[string]bool{}, asked: map[string]bool{}, nextAt: now, saidAt: now, heardAt: now,
	}
	attach := "ATTACH " + c.name
	if c.key != "" {
		attach += " " + c.key
	}
	s.say(attach)
	for _, topic := range c.topics {
		c.subscriptions[topic].newConnection(strings.HasPrefix(topic, livePrefix))
	}
	defer s.end()
	for !over() && time.Now().Before(s.ends) {
		if !s.step() {
			return
		}
	}
	s.end()
	if c.random.IntN(3) == 0 { // some say nothing more and go away
		time.Sleep(time.Duration(c.random.Int64N(int64(second))))
	}
}

// end notes that the client reads nothing more over the connection.
func (s *session) end() {
	s.client.resent = s.client.resent || s.waiting
	for _, over := range s.overs {
		over()
	}
	s.overs = nil
}

func (s *session) say(lines ...string) bool {
	s.conn.SetWriteDeadline(time.Now().Add(time.Second))
	s.saidAt = time.Now()
	_, err := io.WriteString(s.conn, strings.Join(lines, "\r\n")+"\r\n")
	return err == nil
}

// askEvery steps a client asks for a count of subscribers.
const askEvery = 300

// stepRead is how long a step waits for a line.
const stepRead = 20 * time.Millisecond

// step does what is due and reads what came; false ends the connection.
func (s *session) step() bool {
	now := time.Now()
	if now.Sub(s.heardAt) > readTimeout || s.waiting && now.Sub(s.sentAt) > publishTimeout {
		return false
	}
	if now.Sub(s.saidAt) > keepalivePause && !s.say("KEEPALIVE") {
		return false
	}
	if !s.publish(now) || !s.ask() {
		return false
	}
	s.conn.SetReadDeadline(now.Add(stepRead))
	if _, err := s.reader.Peek(1); err != nil {
		timeout, ok := err.(net.Error)
		return ok && timeout.Timeout()
	}
	s.conn.SetReadDeadline(now.Add(readTimeout))
	line, err := s.reader.ReadString('\n')
	if err != nil {
		return false
	}
	s.heardAt = time.Now()
	return s.take(strings.Fields(line), line)
}

// publish sends what the client has to send, if nothing of it waits for an answer.
func (s *session) publish(now time.Time) bool {
	c := s.client
	if !s.attached || s.waiting || now.Before(s.nextAt) || now.Before(c.restsUntil) || len(s.subscribed) < len(c.topics) {
		return true
	}
	m := c.current
	if m != nil && now.Sub(m.first) > messageDeadline {
		c.current, m = nil, nil // given up: it may run or not
	}
	if m == nil {
		if c.stopped() {
			return true
		}
		c.seq++
		m = c.history.begin(c.name, c.topics[c.random.IntN(len(c.topics))], c.seq, c.random)
		c.current = m
	}
	s.waiting, s.sentAt = true, now
	c.history.tried(m, c.seq)
	return s.say(fmt.Sprintf("PUBLISH %s %d %d", m.topic, c.seq, len(m.body)), m.body)
}

// pause puts the next message off.
func (s *session) pause(mean time.Duration) {
	s.waiting = false
	s.nextAt = time.Now().Add(time.Duration(s.client.random.Int64N(int64(2 * mean))))
}

// take takes one line of the edge; false ends the connection.
func (s *session) take(fields []string, line string) bool {
	c := s.client
	if len(fields) == 0 || !strings.HasSuffix(line, "\r\n") {
		c.history.violate("MIXED", "%s got a line that can't be read: %q", c.name, line)
		return false
	}
	switch {
	case fields[0] == "ALIVE":
	case fields[0] == "TALLY" && len(fields) == 3:
		s.counted(fields[1], fields[2])
	case fields[0] == "REDIRECT":
		return false
	case fields[0] == "SUCCESS" && len(fields) == 2 && fields[1] == "ATTACH":
		s.attached = true
		return s.subscribe(c.topics...)
	case fields[0] == "SUCCESS" && len(fields) == 4 && fields[1] == "SUBSCRIBE":
		return s.began(fields[2], fields[3])
	case fields[0] == "ACK" && len(fields) == 3:
		s.acked(fields[1], fields[2])
	case fields[0] == "REJECT":
		return s.rejected(fields)
	case fields[0] == "DELIVER" && len(fields) == 6:
		return s.delivered(fields)
	default:
		c.history.violate("MIXED", "%s got what it did not ask for: %q", c.name, line)
		return false
	}
	return true
}

// subscribe asks for topics, each from where the client left it.
func (s *session) subscribe(topics ...string) bool {
	for _, topic := range topics {
		if !s.say(strings.TrimSpace("SUBSCRIBE " + topic + " " + s.client.subscriptions[topic].cursor())) {
			return false
		}
	}
	return true
}

func (s *session) began(topic, cursor string) bool {
	subscription := s.client.subscriptions[topic]
	if subscription == nil || s.subscribed[topic] {
		s.client.history.violate("MIXED", "%s: a subscription to %s is answered that was not asked for", s.client.name, topic)
		return false
	}
	s.subscribed[topic] = true
	subscription.begin(cursor)
	s.overs = append(s.overs, subscription.stays.begin())
	return true
}

// counted takes a count of subscribers: there are never more than clients.
func (s *session) counted(topic, number string) {
	n, err := strconv.Atoi(number)
	if !s.asked[topic] || err != nil || n < 0 || n > topicClients {
		s.client.history.violate("MIXED", "%s: a count of %q on %s", s.client.name, number, topic)
	}
	s.client.history.count("counts of subscribers")
}

// ask asks for a count of subscribers now and then.
func (s *session) ask() bool {
	topic := s.client.topics[0]
	if s.client.random.IntN(askEvery) > 0 || !s.attached {
		return true
	}
	s.asked[topic] = true
	return s.say("CENSUS " + topic)
}

func (s *session) acked(topic, number string) {
	c := s.client
	seq, _ := strconv.ParseUint(number, 10, 64)
	if c.current == nil || !s.waiting || c.current.topic != topic || c.seq != seq {
		c.history.violate("MIXED", "%s: an ACK of %s %s that was not asked for", c.name, topic, number)
		return
	}
	c.history.acked(c.current, seq)
	c.current = nil
	s.pause(publishPause)
	s.rest()
}

// rest has a client that rests publish nothing for a while, once what it had to send again was
// accepted: its copy over the earlier connection may be on the way.
func (s *session) rest() {
	c := s.client
	if c.rests && c.resent {
		c.restsUntil = time.Now().Add(time.Duration(c.random.Int64N(int64(2 * meanRest))))
		c.history.count("clients' rests")
	}
	c.resent = false
}

// rejected takes a refusal; false ends the connection.
func (s *session) rejected(fields []string) bool {
	c := s.client
	if len(fields) != 5 {
		c.history.violate("MIXED", "%s: %q", c.name, fields)
		return false
	}
	verb, topic, cause := fields[1], fields[2], fields[4]
	c.history.count("refused " + verb + " " + cause)
	switch verb {
	case "PUBLISH":
		return s.publishRejected(topic, fields[3], cause)
	case "SUBSCRIBE":
		return s.subscribeRejected(topic, cause)
	case "ATTACH":
		if cause != "RETRY" {
			c.history.violate("CONFIG", "%s: ATTACH is refused with %s", c.name, cause)
		}
		return false
	}
	return true
}

func (s *session) subscribeRejected(topic, cause string) bool {
	c := s.client
	switch cause {
	case "EXPIRED":
		c.subscriptions[topic].expired()
	case "RETRY", "UNKNOWN":
	default:
		c.history.violate("CONFIG", "%s: SUBSCRIBE %s is refused with %s", c.name, topic, cause)
	}
	time.Sleep(resendPause)
	delete(s.subscribed, topic)
	return s.subscribe(topic)
}

func (s *session) publishRejected(topic, number, cause string) bool {
	c := s.client
	seq, _ := strconv.ParseUint(number, 10, 64)
	if c.current == nil || !s.waiting || c.current.topic != topic || c.seq != seq {
		c.history.violate("MIXED", "%s: a refusal of %s %s that was not asked for", c.name, topic, number)
		return false
	}
	switch cause {
	case "RETRY":
		c.history.refused(c.current, seq)
		c.seq++ // a new number for the same message, a few times
		if len(c.current.tries) >= maxRetryNumbers {
			c.current = nil
		}
	case "UNKNOWN":
	default:
		c.history.violate("CONFIG", "%s: PUBLISH %s is refused with %s", c.name, topic, cause)
		c.current = nil
	}
	s.pause(resendPause)
	return true
}

// delivered takes a message.
func (s *session) delivered(fields []string) bool {
	c := s.client
	length, err := strconv.Atoi(fields[5])
	if err != nil || length < 0 || length > 16<<10 {
		c.history.violate("MIXED", "%s: %q", c.name, fields)
		return false
	}
	body := make([]byte, length+2)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return false
	}
	topic, sender := fields[1], fields[3]
	seq, _ := strconv.ParseUint(fields[4], 10, 64)
	subscription := c.subscriptions[topic]
	if subscription == nil || !s.subscribed[topic] {
		c.history.violate("MIXED", "%s gets a message on %s, which it has not", c.name, topic)
		return false
	}
	if string(body[length:]) != "\r\n" {
		c.history.violate("MIXED", "%s: a body without its end on %s", c.name, topic)
		return false
	}
	subscription.deliver(fields[2], sender, seq, string(body[:length]))
	return true
}
