package simulation

import (
	"fmt"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/control"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/topic"
)

type key struct {
	client ids.Client
	seq    ids.Seq
}

type call struct {
	topic ids.Topic
	body  []byte
	at    ids.Millis
}

// topics is how many topics clients publish on.
const topics = 4

// publish is a client's call, and its repeats until it is answered.
func (w *World) publish() {
	c := ids.Client(fmt.Sprintf("c%d", w.rng.Intn(6)))
	w.seqs[c]++
	k := key{c, w.seqs[c]}
	body := make([]byte, 20+w.rng.Intn(400))
	for i := range body {
		body[i] = byte('a' + w.rng.Intn(26))
	}
	x := &call{topic: ids.Topic(fmt.Sprintf("t%d", w.rng.Intn(topics))), body: body, at: w.now}
	w.open[k] = x
	w.sent[k] = x.topic
	w.try(k, x)
}

func (w *World) try(k key, x *call) {
	if w.open[k] != x {
		return
	}
	command := topic.Command{
		Verb:   topic.Publish,
		Topic:  x.topic,
		Client: k.client,
		Seq:    k.seq,
		Body:   x.body,
		Keep:   2000,
		Edge:   "e",
	}
	data, err := codec.Marshal(command)
	if err != nil {
		w.fail("encode: %v", err)
	}
	req := paxos.Request{ID: paxos.ID{Origin: string(k.client), Seq: uint64(k.seq)}, Data: data}
	w.submit(req)
	w.after(100+ids.Millis(w.rng.Intn(200)), func() { w.try(k, x) })
}

// submit offers a request to whoever leads.
func (w *World) submit(req paxos.Request) {
	for _, n := range w.nodes {
		if n.up && n.core.Role() == paxos.Leader && !n.cut {
			w.after(w.delay(n), func() {
				if n.up && !n.frozen && n.core.Role() == paxos.Leader {
					n.core.Submit(w.clock(n), req, req.ID.Origin < "c3")
					w.flush(n)
				}
			})
		}
	}
}

const operator = "operator/"

type put struct {
	match, release int64
	res            control.Result
}

// configure is two operators on top of what some node holds: one may win.
func (w *World) configure() {
	n := w.nodes[w.rng.Intn(len(w.nodes))]
	for i := 0; i < 1+w.rng.Intn(2); i++ {
		w.putSeq++
		p := put{match: n.control.Release, release: n.control.Release + int64(w.rng.Intn(4))}
		id := paxos.ID{Origin: operator + "x", Seq: w.putSeq}
		w.puts[id] = p
		body := []byte(fmt.Sprint("config ", w.putSeq))
		data, err := codec.Marshal(control.Command{Verb: control.Put, Match: p.match, Release: p.release, Body: body})
		if err != nil {
			w.fail("encode: %v", err)
		}
		var try func()
		try = func() { // without an answer it is sent again unchanged
			if w.puts[id].res == 0 {
				w.submit(paxos.Request{ID: id, Data: data})
				w.after(200+ids.Millis(w.rng.Intn(200)), try)
			}
		}
		try()
	}
}
