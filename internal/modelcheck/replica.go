package modelcheck

import (
	"crypto/sha256"
	"maps"
	"reflect"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

type digest [16]byte

func sum(b []byte) (d digest) {
	s := sha256.Sum256(b)
	copy(d[:], s[:])
	return d
}

// disk is what is synced. It is never changed, only replaced.
type disk struct {
	Promised ids.Ballot
	Commit   ids.Slot
	Entries  map[ids.Slot]paxos.Entry
	Snap     *snap
}

// snap is a snapshot; the state it would hold follows from its slot.
type snap struct {
	Slot        ids.Slot
	Memberships []paxos.Membership
	Clock       ids.Millis
}

// write is what goes down under one sync.
type write struct {
	Recs  []paxos.Record
	Token uint64
	Snap  *snap
	Came  bool // the snapshot came from another replica
}

func (d *disk) with(w write) *disk {
	n := *d
	n.Entries = map[ids.Slot]paxos.Entry{}
	maps.Copy(n.Entries, d.Entries)
	for _, r := range w.Recs {
		n.Promised, n.Commit = r.Promised, r.Commit
		if r.Entry != nil {
			n.Entries[r.Entry.Slot] = *r.Entry
		}
	}
	if w.Snap != nil {
		n.Snap = w.Snap
		maps.DeleteFunc(n.Entries, func(s ids.Slot, _ paxos.Entry) bool { return s <= w.Snap.Slot })
	}
	return &n
}

// replica is one process: the engine, its disk and its steady clock. One that is
// part of a world is never changed: a step works on a twin of it.
type replica struct {
	self    paxos.Member
	core    *paxos.Core
	now     ids.Millis
	disk    *disk
	pending []write // not synced yet, in order
	clock   ids.Millis
	mark    digest
}

func (r *replica) twin() *replica {
	n := *r
	n.core = twin(reflect.ValueOf(r.core)).Interface().(*paxos.Core)
	n.pending = slices.Clone(r.pending)
	return &n
}

// seal marks a replica once its step is over.
func (r *replica) seal(blind map[string]bool) {
	b := make([]byte, 0, 2048)
	b = canonBut(b, reflect.ValueOf(r.core).Elem(), blind, "")
	b = canon(b, reflect.ValueOf(r.disk))
	b = canon(b, reflect.ValueOf(r.pending))
	b = canon(b, reflect.ValueOf(r.self))
	b = canon(b, reflect.ValueOf(r.now))
	b = canon(b, reflect.ValueOf(r.clock))
	r.mark = sum(b)
}

// canonBut appends the bytes of a struct and its parts without the fields that are
// named by their path.
func canonBut(b []byte, v reflect.Value, without map[string]bool, path string) []byte {
	for i := 0; i < v.NumField(); i++ {
		name := path + v.Type().Field(i).Name
		switch f := v.Field(i); {
		case without[name]:
		case f.Kind() == reflect.Struct:
			b = canonBut(b, f, without, name+".")
		default:
			b = canon(b, f)
		}
	}
	return b
}

// blind names the engine's fields that can't tell two states of a plan apart.
func blind(p *Plan) map[string]bool {
	b := map[string]bool{"following.leaderCommit": true} // read by UpToDate alone, which nobody asks here
	if p.Instant {
		b["disk.tokens"] = true // nothing waits for a sync between steps: a mere name
	}
	if p.Most[Heartbeat]+p.Most[Drain]+p.Most[ChangeMembership] == 0 {
		// what a leader reads on its timer, and when it hands over or takes a change
		b["seen"], b["leading.unanswered"], b["leading.usualLatency"] = true, true, true
	}
	return b
}

// boot starts an incarnation from the disk.
func (r *replica) boot(p *Plan, founders, learners []paxos.Member) {
	b := paxos.InitialState{
		Promised:    r.disk.Promised,
		Commit:      r.disk.Commit,
		Memberships: []paxos.Membership{{Members: founders}},
	}
	if s := r.disk.Snap; s != nil {
		b.Base, b.Memberships, b.Clock = s.Slot, s.Memberships, s.Clock
		b.Commit = max(b.Commit, s.Slot)
	}
	for _, s := range slices.Sorted(maps.Keys(r.disk.Entries)) {
		b.Entries = append(b.Entries, r.disk.Entries[s])
	}
	conf := p.Conf
	conf.Self = r.self
	r.pending, r.clock = nil, b.Clock
	r.core = paxos.New(conf, b, r.now)
	r.core.SetLearners(learners)
}

// image is the replica's state as a snapshot.
func (r *replica) image() *snap {
	return &snap{r.core.Commit(), slices.Clone(r.core.Memberships()), r.clock}
}

// holds tells whether the disk has an entry accepted under an epoch, or one
// that needs no acceptance any more.
func (d *disk) holds(s ids.Slot, b ids.Ballot) bool {
	e, ok := d.Entries[s]
	return ok && e.Ballot >= b || d.Snap != nil && s <= d.Snap.Slot
}

// bound is the highest epoch the disk holds the replica to.
func (d *disk) bound() ids.Ballot {
	b := d.Promised
	for _, e := range d.Entries {
		b = max(b, e.Ballot)
	}
	return b
}

// reach is the instance up to which the disk holds everything.
func (d *disk) reach() (s ids.Slot) {
	if d.Snap != nil {
		s = d.Snap.Slot
	}
	for {
		if _, ok := d.Entries[s+1]; !ok {
			return s
		}
		s++
	}
}

// level is the instance up to which the disk holds everything and says that it is
// decided.
func (d *disk) level() ids.Slot {
	least := ids.Slot(0)
	if d.Snap != nil {
		least = d.Snap.Slot
	}
	return max(least, min(d.reach(), d.Commit))
}
