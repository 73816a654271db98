package controlapi

import (
	"log/slog"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/transport"
)

// Update is what the control plane tells the data plane: all of it (Base 0), or
// what changed since the instance Base. An update that was taken is not written to.
type Update struct {
	_        struct{} `cbor:",toarray"`
	Seq      ids.Slot // the control group's instance it stands at
	Base     ids.Slot
	Forgot   ids.Slot // nodes were forgotten then: changes since before are not enough
	Release  int64
	ConfigAt ids.Slot
	Config   []byte // packed; empty when it did not change
	Nodes    []Node
	Shards   []Shard
	Workers  []Worker
}

// Bootstrap is as much of the update as a process needs that is to be updated by a
// store of its zone: who the stores and control processes are, and who holds
// which shard. Its Seq is 0: whatever else comes is newer.
func (n *Update) Bootstrap() *Update {
	out := &Update{}
	for _, x := range n.Nodes {
		if x.Role != Edge && !x.Gone {
			out.Nodes = append(out.Nodes, Node{Role: x.Role, Zone: x.Zone, Addr: x.Addr, Num: x.Num})
		}
	}
	for _, x := range n.Shards {
		out.Shards = append(out.Shards, Shard{Voters: x.Voters, Learners: x.Learners, Group: x.Group})
	}
	return out
}

// Since gives what changed after base, or all of it.
func (n *Update) Since(base ids.Slot) *Update {
	if base < n.Forgot || base > n.Seq {
		base = 0
	}
	out := &Update{Seq: n.Seq, Base: base, Forgot: n.Forgot, Release: n.Release, ConfigAt: n.ConfigAt}
	if n.ConfigAt > base {
		out.Config = n.Config
	}
	for _, x := range n.Nodes {
		if x.At > base {
			out.Nodes = append(out.Nodes, x)
		}
	}
	for _, x := range n.Shards {
		if x.At > base {
			out.Shards = append(out.Shards, x)
		}
	}
	for _, x := range n.Workers {
		if x.At > base {
			out.Workers = append(out.Workers, x)
		}
	}
	return out
}

// ForEdges is the update without what edges have no use for.
func (n *Update) ForEdges() *Update {
	out := *n
	out.Workers = nil
	return &out
}

// UpdateCache gives links what changed since what each was last given; links that
// stand alike share the bytes.
type UpdateCache struct {
	Update *Update
	packed map[ids.Slot][]byte
}

// Conn is a connection to a peer: a link, or a test's stand-in.
type Conn interface {
	Send(transport.Kind, any) bool
	SendRaw(transport.Kind, []byte) bool
}

// Give sends a link what changed after seq, and tells how new its updates are then.
func (s *UpdateCache) Give(l Conn, seq ids.Slot) ids.Slot {
	if seq >= s.Update.Seq {
		return seq
	}
	b, ok := s.packed[seq]
	if !ok {
		var err error
		if b, err = codec.Marshal(s.Update.Since(seq)); err != nil {
			slog.Warn("encode-failed", "kind", KindUpdate, "err", err)
			return seq
		}
		if s.packed == nil {
			s.packed = map[ids.Slot][]byte{}
		}
		s.packed[seq] = b
	}
	if !l.SendRaw(KindUpdate, b) {
		return seq
	}
	return s.Update.Seq
}

// with gives the update after a change was taken into it.
func (n *Update) with(d *Update) *Update {
	out := *d
	out.Base = 0
	if d.ConfigAt <= n.ConfigAt {
		out.Config, out.ConfigAt, out.Release = n.Config, n.ConfigAt, n.Release
	}
	changed := map[ids.Node]Node{}
	for _, x := range d.Nodes {
		changed[x.Addr] = x
	}
	out.Nodes = make([]Node, 0, len(n.Nodes)+len(d.Nodes))
	for _, x := range n.Nodes {
		if y, ok := changed[x.Addr]; ok {
			delete(changed, x.Addr)
			x = y
		}
		out.Nodes = append(out.Nodes, x)
	}
	for _, x := range d.Nodes {
		if _, ok := changed[x.Addr]; ok {
			out.Nodes = append(out.Nodes, x)
		}
	}
	out.Shards = append([]Shard(nil), n.Shards...)
	for _, x := range d.Shards {
		if int(x.Group) < len(out.Shards) {
			out.Shards[x.Group] = x
		} else {
			out.Shards = append(out.Shards, x)
		}
	}
	out.Workers = withWorkers(n.Workers, d.Workers)
	return &out
}

// Find gives a process of the newest updates.
func (n *Update) Find(a ids.Node) *Node {
	for i := range n.Nodes {
		if n.Nodes[i].Addr == a {
			return &n.Nodes[i]
		}
	}
	return nil
}

// Far tells whether a process is known to be in another zone than z.
func (n *Update) Far(a ids.Node, z ids.Zone) bool {
	if n == nil {
		return false
	}
	x := n.Find(a)
	return x != nil && x.Zone != z
}
