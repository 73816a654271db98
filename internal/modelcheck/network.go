package modelcheck

import (
	"encoding/binary"
	"fmt"
	"reflect"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// parcel is a message, or a snapshot, and its way.
type parcel struct {
	from, to int8
	at       ids.Millis // the sender's clock, if the receiver's may have to follow
	msg      paxos.Msg
	snap     *snap
	text     string
}

// set is a set of parcels. It is never changed, only replaced.
type set []uint64

func (s set) has(i int32) bool { return int(i>>6) < len(s) && s[i>>6]&(1<<(i&63)) != 0 }

func (s set) with(i int32) set {
	if s.has(i) {
		return s
	}
	n := make(set, max(len(s), int(i>>6)+1))
	copy(n, s)
	n[i>>6] |= 1 << (i & 63)
	return n
}

// in tells whether all of a set is in another.
func (s set) in(o set) bool {
	for i, b := range s {
		if i >= len(o) && b != 0 || i < len(o) && b&^o[i] != 0 {
			return false
		}
	}
	return true
}

// post gives a message its number.
func (e *explorer) post(p parcel) int32 {
	key := []byte{byte(p.from), byte(p.to)}
	key = binary.AppendVarint(key, int64(p.at))
	n := len(key) + 1
	if p.snap != nil {
		key = canon(append(key, 's'), reflect.ValueOf(p.snap))
	} else {
		raw, err := codec.Marshal(p.msg)
		if err != nil {
			panic(err) // the type is fixed
		}
		key = append(append(key, 'm'), raw...)
	}
	if i, ok := e.known[string(key)]; ok {
		return i
	}
	if p.snap == nil {
		// as it is read off the wire
		var m paxos.Msg
		if err := codec.Unmarshal(key[n:], &m); err != nil {
			panic(err)
		}
		p.msg = m
	}
	p.text = e.describe(p)
	i := int32(len(e.parcels))
	e.parcels = append(e.parcels, p)
	e.known[string(key)] = i
	return i
}

var kinds = [...]string{"", "canvass", "favor", "prepare", "promise", "accept", "accepted", "beat", "nack", "fetch",
	"feed", "yield", "level"}

func (e *explorer) describe(p parcel) string {
	from := string(rune('a' + p.from))
	if p.snap != nil {
		return fmt.Sprintf("snapshot of %s up to %d", from, p.snap.Slot)
	}
	m := p.msg
	t := fmt.Sprintf("%s of %s/%d", kinds[m.Kind], from, m.From)
	if m.Ballot != 0 {
		t += fmt.Sprintf(" epoch %d.%d", m.Ballot.Round(), m.Ballot.Replica())
	}
	if m.Slot != 0 {
		t += fmt.Sprintf(" slot %d", m.Slot)
	}
	if m.Commit != 0 {
		t += fmt.Sprintf(" commit %d", m.Commit)
	}
	if m.Durable != 0 {
		t += fmt.Sprintf(" disk %d", m.Durable)
	}
	if m.Yes {
		t += " yes"
	}
	if m.Kind == paxos.Accept {
		t += " " + named(m.Val)
	}
	for _, x := range m.Entries {
		t += fmt.Sprintf(" [%d %d.%d %s", x.Slot, x.Ballot.Round(), x.Ballot.Replica(), named(x.Val))
		if x.Decided {
			t += " decided"
		}
		t += "]"
	}
	return t
}

// named says in short what a value holds.
func named(raw []byte) string {
	v, err := paxos.Decode(raw)
	switch {
	case err != nil:
		return "unreadable"
	case len(v.Members) > 0:
		t := "seats"
		for _, m := range v.Members {
			t += fmt.Sprintf(" %s/%d", m.Node, m.ID)
		}
		return t
	case len(v.Reqs) == 0:
		return "no-op"
	}
	t := ""
	for _, r := range v.Reqs {
		t += string(r.Data)
	}
	return t
}
