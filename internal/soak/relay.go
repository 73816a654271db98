package soak

import (
	"bufio"
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/transport"
)

// effect is what a relay does to the bytes from one process to another.
type effect struct {
	cut      bool          // they wait, and new connections hang
	delay    time.Duration // each piece takes longer
	truncate bool          // half of the next piece arrives, and the connection ends
	mute     bool          // new connections are taken, and nothing passes
}

// condition gives the effect on the bytes from one process to another; the zero value: none.
type condition func(from, to ids.Node) effect

// Relay is the network between the processes of a deployment. Each of them makes its
// connections and sends its datagrams through it.
type Relay struct {
	Address string

	listener net.Listener
	packets  *net.UDPConn

	mu         sync.Mutex
	conditions map[int]condition
	last       int
	pipes      map[*pipe]bool
}

// pipe is one connection through the relay.
type pipe struct {
	from, to       ids.Node
	client, server net.Conn
	ended          atomic.Bool // it was reset
}

const (
	relayPoll = 5 * time.Millisecond
	// relayPiece is how many bytes are passed on at a time.
	relayPiece = 16 << 10
	// relayHang is how long a new connection hangs at the most.
	relayHang = 10 * time.Second
)

// NewRelay listens at an address, for connections and datagrams.
func NewRelay(address string) (*Relay, error) {
	r := &Relay{Address: address, conditions: map[int]condition{}, pipes: map[*pipe]bool{}}
	var err error
	if r.listener, err = net.Listen("tcp", address); err != nil {
		return nil, errs.Wrap("listen relay", address, err)
	}
	at, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		r.packets, err = net.ListenUDP("udp4", at)
	}
	if err != nil {
		r.listener.Close()
		return nil, errs.Wrap("listen relay datagrams", address, err)
	}
	go r.accept()
	go r.forwardPackets()
	return r, nil
}

// Close ends it and all connections through it.
func (r *Relay) Close() {
	r.listener.Close()
	r.packets.Close()
	r.reset(func(ids.Node, ids.Node) bool { return true })
}

// impose puts a condition in force; the function that it gives ends it.
func (r *Relay) impose(c condition) (lift func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	n := r.last
	r.conditions[n] = c
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conditions, n)
	}
}

// effect gives what is done to the bytes from one process to another now.
func (r *Relay) effect(from, to ids.Node) (sum effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conditions {
		e := c(from, to)
		sum.cut = sum.cut || e.cut
		sum.truncate = sum.truncate || e.truncate
		sum.mute = sum.mute || e.mute
		sum.delay += e.delay
	}
	return sum
}

// reset resets the connections between some processes.
func (r *Relay) reset(which func(from, to ids.Node) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		if which(p.from, p.to) {
			p.reset()
		}
	}
}

func (p *pipe) reset() {
	p.ended.Store(true)
	for _, c := range []net.Conn{p.client, p.server} {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		if c != nil {
			c.Close()
		}
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// readHeader reads who connects, and to whom.
func readHeader(line string) (from, to ids.Node, ok bool) {
	a, b, ok := strings.Cut(strings.TrimSpace(line), " ")
	return ids.Node(a), ids.Node(b), ok
}

// serve passes a connection on.
func (r *Relay) serve(client net.Conn) {
	reader := bufio.NewReader(client)
	line, err := reader.ReadString('\n')
	from, to, ok := readHeader(line)
	if err != nil || !ok {
		client.Close()
		return
	}
	for began := time.Now(); r.effect(from, to).cut || r.effect(to, from).cut; time.Sleep(relayPoll) {
		if time.Since(began) > relayHang {
			client.Close()
			return
		}
	}
	server, err := net.DialTimeout("tcp", string(to), time.Second)
	if err != nil {
		client.Write([]byte{transport.RelayRefused})
		client.Close()
		return
	}
	p := &pipe{from: from, to: to, client: client, server: server}
	r.mu.Lock()
	r.pipes[p] = true
	r.mu.Unlock()
	client.Write([]byte{transport.RelayConnected})
	muted := r.effect(from, to).mute || r.effect(to, from).mute
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(p, reader, server, from, to, muted) })
	directions.Go(func() { r.copy(p, server, client, to, from, muted) })
	directions.Wait()
	client.Close()
	server.Close()
	r.mu.Lock()
	delete(r.pipes, p)
	r.mu.Unlock()
}

// piece is bytes on their way.
type piece struct {
	bytes []byte
	due   time.Time
}

// copy passes the bytes of one direction on until either end closes.
func (r *Relay) copy(p *pipe, source interface{ Read([]byte) (int, error) }, sink net.Conn, from, to ids.Node, muted bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pieces := make(chan piece, 64)
	go r.read(ctx, source, pieces, from, to)
	defer closeWrite(sink)
	for one := range pieces {
		time.Sleep(time.Until(one.due))
		for r.effect(from, to).cut {
			time.Sleep(relayPoll)
			if p.gone() {
				return
			}
		}
		if muted {
			continue
		}
		if r.effect(from, to).truncate && len(one.bytes) > 1 {
			sink.Write(one.bytes[:1+rand.IntN(len(one.bytes)-1)])
			p.reset()
			return
		}
		if _, err := sink.Write(one.bytes); err != nil {
			return
		}
	}
}

// closeWrite tells the reader of a connection that nothing more comes.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// gone tells whether a connection was reset meanwhile.
func (p *pipe) gone() bool { return p.ended.Load() }

// read reads pieces until the source ends.
func (r *Relay) read(
	ctx context.Context, source interface{ Read([]byte) (int, error) }, pieces chan<- piece, from, to ids.Node,
) {
	defer close(pieces)
	for {
		b := make([]byte, relayPiece)
		n, err := source.Read(b)
		if n > 0 {
			select {
			case pieces <- piece{b[:n], time.Now().Add(r.effect(from, to).delay)}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// forwardPackets passes datagrams on, or loses them.
func (r *Relay) forwardPackets() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := r.packets.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		line, rest, _ := bytes.Cut(buffer[:n], []byte("\n"))
		from, to, ok := readHeader(string(line))
		if !ok {
			continue
		}
		e := r.effect(from, to)
		if e.cut || e.mute || e.truncate {
			continue
		}
		at, err := net.ResolveUDPAddr("udp4", string(to))
		if err != nil {
			continue
		}
		payload := bytes.Clone(rest)
		time.AfterFunc(e.delay, func() { r.packets.WriteToUDP(payload, at) })
	}
}
