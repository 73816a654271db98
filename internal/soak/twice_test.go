package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// judged is a history with one worker, whose connections are watched.
type judged struct {
	t       *testing.T
	history *QueueHistory
	worker  *worker
	message *queueMessage
}

func newJudged(t *testing.T) *judged {
	t.Helper()
	history := newQueueHistory(newHistory(io.Discard))
	d := &deployment{}
	d.plan.Net = 199
	w := &worker{fleet: newWorkerFleet(d, history), id: "w", service: stockService}
	w.mode.Store(Kind(""))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w, ConnContext: withConnection}
	go w.server.Serve(workerListener{listener})
	t.Cleanup(func() { w.server.Close() })
	m := &queueMessage{id: "m", path: "/stock/1", body: "x", sent: time.Now()}
	history.sending(m)
	return &judged{t: t, history: history, worker: w, message: m}
}

// send sends the message over a new connection.
func (j *judged) send() *net.TCPConn {
	j.t.Helper()
	conn, err := net.Dial("tcp", j.worker.address)
	if err != nil {
		j.t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST /stock/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: m\r\nContent-Length: 1\r\n\r\nx")
	return conn.(*net.TCPConn)
}

// readAnswer reads a success; a run that fails at random is sent again.
func (j *judged) readAnswer(conn *net.TCPConn) bool {
	j.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		j.t.Fatal(err)
	}
	return response.StatusCode == http.StatusOK
}

// succeed has the message run with success, its answer read, and its connection closed.
func (j *judged) succeed() {
	j.t.Helper()
	for {
		conn := j.send()
		done := j.readAnswer(conn)
		time.Sleep(4 * readTime)
		conn.Close()
		if done {
			time.Sleep(4 * readTime)
			return
		}
	}
}

// succeedUnread has the message run with success, and the answer lost with its receiver.
func (j *judged) succeedUnread() {
	j.t.Helper()
	for before := j.seals(); j.seals() == before; {
		conn := j.send()
		time.Sleep(4*workTime + 4*readTime) // the answer is there, and nobody reads it
		conn.SetLinger(0)
		conn.Close()
		time.Sleep(4 * readTime)
	}
}

func (j *judged) seals() int {
	j.history.mu.Lock()
	defer j.history.mu.Unlock()
	return len(j.message.seals)
}

// twice tells how many messages ran again that must not have.
func (j *judged) twice() int {
	j.history.checkTwice()
	return len(j.history.Violations())
}

// TestTwiceBites: a message that runs again after a success that was read is a violation; not so
// after one that nobody read, or beside a trouble that was not planned.
func TestTwiceBites(t *testing.T) {
	t.Run("read", func(t *testing.T) {
		j := newJudged(t)
		j.succeed()
		if j.twice() != 0 {
			t.Fatal("one success is a violation")
		}
		j.succeed()
		if j.twice() != 1 {
			t.Errorf("violations: %v", j.history.Violations())
		}
	})
	t.Run("read, the connection used again", func(t *testing.T) {
		j := newJudged(t)
		for done := false; !done; {
			conn := j.send()
			done = j.readAnswer(conn)
			fmt.Fprintf(conn, "GET /none HTTP/1.1\r\n") // a further request begins
			time.Sleep(4 * readTime)
			conn.SetLinger(0)
			conn.Close()
		}
		j.succeed()
		if j.twice() != 1 {
			t.Errorf("violations: %v", j.history.Violations())
		}
	})
	t.Run("not read", func(t *testing.T) {
		j := newJudged(t)
		j.succeedUnread()
		j.succeed()
		if j.twice() != 0 {
			t.Errorf("violations: %v", j.history.Violations())
		}
	})
	t.Run("in a trouble", func(t *testing.T) {
		j := newJudged(t)
		over := j.history.calendar.begin()
		over()
		j.succeed()
		j.succeed()
		if j.twice() != 0 || j.history.Counts()["runs after a success, excused by a trouble"] != 1 {
			t.Errorf("violations: %v", j.history.Violations())
		}
	})
}

// TestCalendar: a trouble counts from its beginning until so long after its end.
func TestCalendar(t *testing.T) {
	start := time.Now()
	c := &calendar{troubles: periods{list: []*period{{from: start.Add(10 * second), to: start.Add(12 * second)}}}}
	for _, test := range []struct {
		from, to time.Duration
		calm     bool
	}{
		{0, 9 * second, true},
		{0, 11 * second, false},
		{11 * second, 11 * second, false},
		{13 * second, 14 * second, false},
		{12*second + contactTime, 20 * second, true},
	} {
		if got := c.calm(contactTime, start.Add(test.from), start.Add(test.to)); got != test.calm {
			t.Errorf("from %v to %v: calm %v", test.from, test.to, got)
		}
	}
	c.begin()
	if later := time.Now().Add(time.Hour); c.calm(contactTime, later, later) {
		t.Error("a trouble that is not over yet is forgotten")
	}
}

// TestPlannedPlans: they hold planned work alone, and restart no more at once than is borne.
func TestPlannedPlans(t *testing.T) {
	kinds := map[Kind]int{}
	for seed := range uint64(100) {
		plan := Draw(Shape{Seed: seed, For: time.Minute, Zones: 3 + 2*int(seed%2), Edges: 1, Queue: true, Planned: true})
		for i, trouble := range plan.Troubles {
			kinds[trouble.Kind]++
			if !plannedWork[trouble.Kind] {
				t.Fatalf("seed %d: %v", seed, trouble)
			}
			down := 0
			for _, o := range plan.Troubles[:i+1] {
				if o.Kind == Terminate && o.Class == trouble.Class && o.At+o.For+restartTime > trouble.At {
					down++
				}
			}
			if trouble.Kind == Terminate && trouble.Class != Edge && down > plan.Shape.Losses() {
				t.Fatalf("seed %d: %d of class %s restart at %v", seed, down, trouble.Class, trouble.At)
			}
		}
	}
	for kind := range plannedWork {
		if kinds[kind] < 100 {
			t.Errorf("%s comes %d times", kind, kinds[kind])
		}
	}
}
