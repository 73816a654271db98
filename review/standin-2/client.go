package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// delivered is a message that a client was handed.
type delivered struct {
	topic, cursor, from string
	seq                 int
	body                string
	at                  time.Time
}

// client is one connection of a topic client.
type client struct {
	name string
	conn net.Conn

	mu       sync.Mutex
	got      []delivered
	answers  chan string // lines that are no DELIVER
	gone     chan struct{}
	lastByte time.Time
}

// connect opens a connection and attaches.
func connect(front, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, answers: make(chan string, 4096), gone: make(chan struct{}), lastByte: time.Now()}
	go c.read()
	c.send("ATTACH " + name)
	line, err := c.answer(1500 * time.Millisecond)
	if err == nil && line != "SUCCESS ATTACH" {
		err = fmt.Errorf("%s", line)
	}
	if err != nil {
		c.close()
		return nil, err
	}
	go c.keepAlive()
	return c, nil
}

func (c *client) send(line string) { c.conn.Write([]byte(line + "\r\n")) }

func (c *client) close() { c.conn.Close() }

// keepAlive says something every ping_s.
func (c *client) keepAlive() {
	for {
		select {
		case <-c.gone:
			return
		case <-time.After(2 * time.Second):
			c.send("KEEPALIVE")
		}
	}
}

// answer waits for the next line that is neither a DELIVER nor ALIVE.
func (c *client) answer(wait time.Duration) (string, error) {
	select {
	case line := <-c.answers:
		return line, nil
	case <-c.gone:
		return "", fmt.Errorf("the connection ended")
	case <-time.After(wait):
		return "", fmt.Errorf("no answer in %s", wait)
	}
}

// read takes what comes.
func (c *client) read() {
	defer close(c.gone)
	r := bufio.NewReader(c.conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		c.mu.Lock()
		c.lastByte = time.Now()
		c.mu.Unlock()
		f := strings.Split(line, " ")
		switch {
		case f[0] == "DELIVER" && len(f) == 6:
			size, _ := strconv.Atoi(f[5])
			seq, _ := strconv.Atoi(f[4])
			body := make([]byte, size+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			c.mu.Lock()
			c.got = append(c.got, delivered{f[1], f[2], f[3], seq, string(body[:size]), time.Now()})
			c.mu.Unlock()
		case line == "ALIVE":
		default:
			select {
			case c.answers <- line:
			default:
			}
		}
	}
}

// messages gives what the client was handed so far.
func (c *client) messages() []delivered {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]delivered(nil), c.got...)
}

// subscribe takes up a topic at a cursor, once; it gives the cursor of the answer.
func (c *client) subscribe(topic, cursor string) (string, error) {
	c.send(strings.TrimSpace("SUBSCRIBE " + topic + " " + cursor))
	line, err := c.answer(1500 * time.Millisecond)
	if err != nil {
		return "", err
	}
	f := strings.Split(line, " ")
	if len(f) == 4 && f[0] == "SUCCESS" && f[1] == "SUBSCRIBE" {
		return f[3], nil
	}
	return "", fmt.Errorf("%s", line)
}

// publish sends a message and waits for its answer.
func (c *client) publish(topic string, seq int, body string) (string, error) {
	c.send(fmt.Sprintf("PUBLISH %s %d %d\r\n%s", topic, seq, len(body), body))
	return c.answer(1500 * time.Millisecond)
}
