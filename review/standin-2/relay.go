package main

import (
	"bufio"
	"bytes"
	"net"
	"strings"
	"sync"
	"time"
)

// relay is the network between the processes: each makes its connections and sends its
// datagrams through it, and says first who it is and whom it wants to reach. The links of
// edges have a bandwidth, as machines' links have.
type relay struct {
	narrow func(node string) bool // whose link has the bandwidth
	rate   float64                // of it, in bytes a second each way

	listener net.Listener
	packets  *net.UDPConn

	mu    sync.Mutex
	links map[string]*pipeline
}

// pipeline is one direction of a machine's link.
type pipeline struct {
	mu   sync.Mutex
	free time.Time // when all that was sent has passed
}

// pass waits until n bytes have passed the link.
func (p *pipeline) pass(n int, rate float64) {
	p.mu.Lock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	until := p.free
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// relayPiece is how many bytes are passed on at a time: about a packet.
const relayPiece = 1400

// What a relay answers to who connects through it.
const (
	relayConnected = 'c'
	relayRefused   = 'r'
)

// startRelay listens at an address for connections and datagrams.
func startRelay(address string, rate float64, narrow func(string) bool) (*relay, error) {
	r := &relay{narrow: narrow, rate: rate, links: map[string]*pipeline{}}
	var err error
	if r.listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	if r.packets, err = net.ListenUDP("udp4", at); err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	go r.forwardPackets()
	return r, nil
}

// link gives one direction of a machine's link.
func (r *relay) link(name string) *pipeline {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[name] == nil {
		r.links[name] = &pipeline{}
	}
	return r.links[name]
}

// serve passes a connection on.
func (r *relay) serve(client net.Conn) {
	defer client.Close()
	reader := bufio.NewReaderSize(client, relayPiece)
	line, err := reader.ReadString('\n')
	from, to, ok := strings.Cut(strings.TrimSpace(line), " ")
	if err != nil || !ok {
		return
	}
	server, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		client.Write([]byte{relayRefused})
		return
	}
	defer server.Close()
	// a peer that does not read soon holds the writer up
	for _, c := range []net.Conn{client, server} {
		c.(*net.TCPConn).SetReadBuffer(16 << 10)
		c.(*net.TCPConn).SetWriteBuffer(16 << 10)
	}
	client.Write([]byte{relayConnected})
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(reader, server, from, to) })
	directions.Go(func() { r.copy(server, client, to, from) })
	directions.Wait()
}

// copy passes the bytes of one direction on until either end closes.
func (r *relay) copy(source interface{ Read([]byte) (int, error) }, sink net.Conn, from, to string) {
	defer sink.Close()
	b := make([]byte, relayPiece)
	for {
		n, err := source.Read(b)
		if n > 0 {
			if r.narrow(from) {
				r.link(from+" out").pass(n, r.rate)
			}
			if r.narrow(to) {
				r.link(to+" in").pass(n, r.rate)
			}
			if _, err := sink.Write(b[:n]); err != nil {
				if c, ok := source.(net.Conn); ok {
					c.Close()
				}
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// forwardPackets passes datagrams on.
func (r *relay) forwardPackets() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := r.packets.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		line, rest, _ := bytes.Cut(buffer[:n], []byte("\n"))
		_, to, ok := strings.Cut(string(line), " ")
		if at, err := net.ResolveUDPAddr("udp4", to); ok && err == nil {
			r.packets.WriteToUDP(rest, at)
		}
	}
}
