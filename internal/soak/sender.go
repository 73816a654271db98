package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// sender hands messages in.
type sender struct {
	number  int
	tenant  tenant // the zero value: no keys are needed
	history *QueueHistory
	fronts  func() []string
	random  *rand.Rand
	sent    int
}

// run hands messages in until stop is closed.
func (s *sender) run(stop chan struct{}) { atRandom(stop, s.random, queuePause, s.message) }

// message hands one message in: each try after a promise is another one.
func (s *sender) message() {
	path, key := s.destination()
	var delay time.Duration
	if s.random.IntN(10) == 0 {
		delay = queueDelay
	}
	length := 20 + s.random.IntN(400)
	if s.random.IntN(20) == 0 {
		length = queueLargest
	}
	body := strings.Repeat(fmt.Sprintf("%x.", s.random.Uint64()), length/17+1)
	for range queueTries {
		s.sent++
		m := &queueMessage{
			id: fmt.Sprintf("m%d-%d-%x", s.number, s.sent, s.random.Uint32()), path: path, key: key, body: body,
			tenant: s.tenant.label, delay: delay, sent: time.Now(),
		}
		if !s.try(m) {
			return
		}
		time.Sleep(time.Duration(s.random.Int64N(int64(2 * tenth))))
	}
}

// destination draws the path of a message, and the sequence that it stands in.
func (s *sender) destination() (path, key string) {
	switch {
	case s.random.IntN(hopelessPart) == 0:
		return noRoutePath, ""
	case s.random.IntN(meteredShare) == 0:
		return "/metered/1", ""
	case s.random.IntN(pairShare) == 0:
		return pairPath + "1", ""
	case s.random.IntN(hopelessPart) == 0:
		return failingPath + "1", ""
	case s.random.IntN(hopelessPart) == 0:
		return refusedPath + "1", ""
	case s.random.IntN(2) == 0:
		return "/lock/1", fmt.Sprintf("key-%d", s.random.IntN(queueKeys))
	}
	return "/stock/1", ""
}

// try hands one try in, and tells whether to come again.
func (s *sender) try(m *queueMessage) (again bool) {
	s.history.sending(m)
	header := map[string]string{"Host": queueHost, "X-Attempt-Id": m.id}
	if m.key != "" {
		header["X-Sequence-Key"] = m.key
	}
	if m.delay > 0 {
		header["X-Defer-Ms"] = fmt.Sprint(m.delay.Milliseconds())
	}
	if s.tenant.key != "" {
		header["X-Api-Key"] = s.tenant.key
	}
	fronts := s.fronts()
	answer := callFor(queueTimeout, http.MethodPost, "http://"+fronts[s.random.IntN(len(fronts))]+m.path, header, []byte(m.body))
	s.history.count(fmt.Sprintf("messages answered %d", answer.status))
	switch answer.status {
	case http.StatusNotFound:
		if m.path != noRoutePath {
			s.history.violate("ROUTE", "a message on %s is answered 404", m.path)
		}
	case http.StatusAccepted:
		if m.path == noRoutePath {
			s.history.violate("ROUTE", "message %s is accepted, for which there was never a route", m.id)
		}
		s.history.accepted(m, answer.header.Get("X-Message-Id"))
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		s.history.promise(m, answer.status)
		if answer.header.Get("Retry-After") == "" {
			s.history.violate("RETURN", "%d without Retry-After", answer.status)
		}
		return true
	case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		s.history.violate("CONFIG", "a message on %s is answered %d: %s", m.path, answer.status, answer.body)
	}
	return false
}
