package replication

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
	"oxbowdeck/internal/storage"
	"oxbowdeck/internal/transport"
)

// tally is a machine whose state tells every instance that made it.
type tally struct {
	N        int
	Requests int
	Sum      [32]byte
	Pad      []byte
	loads    int
}

func (m *tally) Apply(d paxos.Decided) {
	m.N++
	m.Requests += len(d.Value.Reqs)
	m.Sum = sha256.Sum256(append(m.Sum[:], d.Raw...))
}
func (m *tally) Save() ([]byte, error) { return cbor.Marshal(m) }
func (m *tally) Clock() ids.Millis     { return 0 }
func (m *tally) Size() int             { return len(m.Pad) }
func (m *tally) Load(b []byte) error {
	n := tally{loads: m.loads + 1}
	if err := cbor.Unmarshal(b, &n); err != nil {
		return err
	}
	if n.N == 0 {
		return errors.New("refused")
	}
	*m = n
	return nil
}

// begin starts a process with one replica of group 7.
func begin(t *testing.T, self paxos.Member, genesis []paxos.Member, m *tally) *Manager {
	t.Helper()
	dir, err := os.MkdirTemp("", "choir") // not TempDir: a slow disk may still write at the end
	if err != nil {
		t.Fatal(err)
	}
	v, err := storage.Open(context.Background(), dir, false)
	if err != nil {
		t.Fatal(err)
	}
	ch := &Manager{Actor: NewActor(1024), Disk: v, Kind: 1, SnapKind: 2, TailAt: 128 << 10, SnapAt: 1 << 30, Replicas: map[ids.Group]*Replica{},
		Failed: func(err error) { t.Error(err) }}
	ch.Hub = transport.New(transport.Hello{Node: self.Node, Incarnation: 1}, transport.Bounds{Queue: 64 << 20, Frame: 64 << 20, Dial: time.Second, Silence: 5 * time.Second, RetryMin: 5 * time.Millisecond, RetryMax: 50 * time.Millisecond},
		func(l *transport.Link, k transport.Kind, b []byte) {
			ch.Actor.Do(func() { ch.Frame(l.Peer().Node, k, b) })
		}, func(*transport.Link) {})
	if _, err := ch.Open(paxos.Config{Group: 7, Self: self, Window: 8, WindowBytes: 4 << 20, BatchBytes: 64 << 10, BatchTimeout: 2, HeartbeatInterval: 40, ElectionTimeout: 400, ElectionBackoff: 50,
		OpenBytes: 8 << 20, FeedBytes: 256 << 10, DisconnectTimeout: 50, RetransmitTimeout: 50}, genesis, m); err != nil {
		t.Fatal(err)
	}
	release(self.Node)
	if err := ch.Hub.Listen(string(self.Node)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ch.Actor.Stop()
		ch.Hub.Close(0)
		v.Close()
		os.RemoveAll(dir)
	})
	return ch
}

// reserved holds the addresses that free gave and begin has not taken yet.
var reserved = map[ids.Node]net.Listener{}

// free reserves an address: until a process begins on it, nobody else can have its port.
func free(t *testing.T) ids.Node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ids.Node(l.Addr().String())
	reserved[address] = l
	t.Cleanup(func() { release(address) })
	return address
}

// release gives a reserved address up.
func release(address ids.Node) {
	if l := reserved[address]; l != nil {
		l.Close()
		delete(reserved, address)
	}
}

func on[T any](ch *Manager, f func() T) T {
	c := make(chan T, 1)
	ch.Actor.Do(func() { c <- f() })
	return <-c
}

// settleTimeout is how long a group may take to decide what it took, up to 8 MB of it, on a
// machine whose disk and processors have other work.
const settleTimeout = 3 * time.Minute

// settle waits for a condition that must come true when nothing is submitted any more; what the
// leader still has under way is told when it does not.
func settle(t *testing.T, lead *Manager, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > settleTimeout {
			core := lead.Replicas[7].Core
			t.Fatal(what, "not within", settleTimeout, on(lead, func() string {
				instances, waiting := core.Pending()
				return fmt.Sprintf("role %d, commit %d, %d instances and %d bytes undecided, %d bytes on the way to the disk",
					core.Role(), core.Commit(), instances, waiting, lead.Disk.Behind())
			}))
		}
	}
}

// TestLearnerOfABusyGroup: the log moves on by several tails while a learner is
// given the state; it gets there all the same, with one snapshot or two.
func TestLearnerOfABusyGroup(t *testing.T) {
	a, b := paxos.Member{ID: 1, Node: free(t)}, paxos.Member{ID: 2, Node: free(t)}
	ma, mb := &tally{Pad: make([]byte, 8<<20)}, &tally{}
	lead := begin(t, a, []paxos.Member{a}, ma)
	go lead.Actor.Run(lead.Tick)
	stop, stopped := make(chan struct{}), make(chan struct{})
	submitted := 0 // requests that the leader took; its actor counts them
	go func() {
		defer close(stopped)
		for seq := uint64(1); ; seq++ {
			lead.Actor.Do(func() {
				request := paxos.Request{ID: paxos.ID{Origin: "x", Seq: seq}, Data: fmt.Appendf(make([]byte, 20000), "%d", seq)}
				if lead.Submit(7, request, false) == nil {
					submitted++
				}
			})
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	at := func(ch *Manager) ids.Slot {
		return on(ch, func() ids.Slot { return ch.Replicas[7].Core.Commit() })
	}
	for at(lead) < 40 {
		time.Sleep(5 * time.Millisecond)
	}
	learner := begin(t, b, nil, mb)
	go learner.Actor.Run(learner.Tick)
	lead.Actor.Do(func() { lead.Replicas[7].Core.SetLearners([]paxos.Member{b}) })
	began := time.Now()
	for at(learner)+10 < at(lead) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("after 10 s at %d of %d, %d snapshots", at(learner), at(lead), on(learner, func() int { return mb.loads }))
		}
		time.Sleep(5 * time.Millisecond)
	}
	close(stop)
	<-stopped
	// What was taken last may still be undecided: only then does the leader's log end.
	settle(t, lead, "the leader has decided what it took", func() bool {
		return on(lead, func() bool { return ma.Requests == submitted })
	})
	settle(t, lead, "the learner has what is decided", func() bool { return at(learner) == at(lead) })
	t.Logf("%v, %d instances, %d snapshots", time.Since(began), at(lead), on(learner, func() int { return mb.loads }))
	if loads := on(learner, func() int { return mb.loads }); loads > 2 {
		t.Fatalf("%d snapshots", loads)
	}
	x, y := on(lead, func() tally { return *ma }), on(learner, func() tally { return *mb })
	if x.N != y.N || x.Requests != y.Requests || x.Sum != y.Sum {
		t.Fatalf("%d instances of %d requests applied here, %d of %d there", x.N, x.Requests, y.N, y.Requests)
	}
	if held := on(lead, func() int { return lead.Replicas[7].tailBytes }); held > lead.TailAt+len(ma.Pad)+4096 {
		t.Fatalf("%d bytes of log held", held)
	}
}

// TestSnapshotsRefused: what is torn, mixed of two, of another group or
// membership, older than the log, or what the machine cannot read changes nothing.
func TestSnapshotsRefused(t *testing.T) {
	self, peer := paxos.Member{ID: 1, Node: free(t)}, ids.Node("127.0.0.1:1")
	other := paxos.Member{ID: 9, Node: peer}
	m := &tally{N: 1}
	ch := begin(t, self, []paxos.Member{other}, m)
	p := ch.Replicas[7]
	memberships := []paxos.Membership{{From: 0, Members: []paxos.Member{other}}}
	state := func(n int, fill byte) []byte {
		b, _ := cbor.Marshal(tally{N: n, Pad: bytes.Repeat([]byte{fill}, 300<<10)})
		return b
	}
	cut := func(g ids.Group, at ids.Slot, memberships []paxos.Membership, b []byte) (out []snapPart) {
		s := storage.Snapshot{Slot: at, Memberships: memberships, State: b}
		for off := 0; off < len(b); off += partBytes {
			out = append(out, snapPart{Group: 7, Slot: at, Memberships: memberships, Total: len(b), Off: off, Data: bytes.Clone(b[off:min(off+partBytes, len(b))]), Digest: s.Digest(g)})
		}
		return out
	}
	for n, x := range []ids.Slot{5, 6} {
		for name, parts := range map[string][]snapPart{
			"torn":  func() []snapPart { f := cut(7, x, memberships, state(3, 'a')); f[1].Data[7]++; return f }(),
			"mixed": append(cut(7, x, memberships, state(3, 'a'))[:1], cut(7, x, memberships, state(3, 'b'))[1:]...),
			"mixed, same digest": func() []snapPart {
				f, g := cut(7, x, memberships, state(3, 'a')), cut(7, x, memberships, state(3, 'b'))
				f[2].Data = g[2].Data
				return f
			}(),
			"of another group":      cut(8, x, memberships, state(3, 'a')),
			"of another membership": cut(7, x, []paxos.Membership{{From: 0, Members: []paxos.Member{self}}}, state(3, 'a')),
			"of none":               cut(7, x, nil, state(3, 'a')),
			"older":                 cut(7, p.Core.Commit(), memberships, state(3, 'a')),
			"unread":                cut(7, x, memberships, state(0, 'a')),
			"without a digest": func() []snapPart {
				f := cut(7, x, memberships, state(3, 'a'))
				for i := range f {
					f[i].Digest = nil
				}
				return f
			}(),
		} {
			was, at := *m, p.Core.Commit()
			for _, f := range parts {
				ch.takePart(peer, f)
			}
			if m.N != was.N || m.loads != was.loads || p.Core.Commit() != at {
				t.Fatalf("%s: taken", name)
			}
		}
		// parts of an earlier transfer, and of an earlier incarnation of the peer, come between
		late, same := cut(7, x-1, memberships, state(2, 'z')), cut(7, x, memberships, state(2, 'y'))
		for i, f := range cut(7, x, memberships, state(4+n, 'a')) {
			if i > 0 {
				ch.takePart(peer, late[0])
				ch.takePart(peer, same[i])
			}
			ch.takePart(peer, f)
		}
		if m.N != 4+n || p.Core.Commit() != x {
			t.Fatalf("the right one was not taken: %d at %d", m.N, p.Core.Commit())
		}
		for deadline := time.Now().Add(5 * time.Second); p.saving && time.Now().Before(deadline); {
			select {
			case f := <-ch.Actor.box:
				f()
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
}

// TestDiskBehind: while more waits for the disk than a bound, no entry is taken
// and none is asked for; afterwards all is as before.
func TestDiskBehind(t *testing.T) {
	self, lead := paxos.Member{ID: 1, Node: free(t)}, paxos.Member{ID: 9, Node: "127.0.0.1:1"}
	ch := begin(t, self, []paxos.Member{lead, self}, &tally{})
	core := ch.Replicas[7].Core
	b, err := cbor.Marshal(paxos.Msg{Kind: paxos.Accept, Group: 7, From: 9, Ballot: ids.MakeBallot(5, 9), Slot: 1, Val: nil})
	if err != nil {
		t.Fatal(err)
	}
	synced := make(chan struct{})
	ch.Disk.Save(8, []paxos.Record{{Entry: &paxos.Entry{Slot: 1, Val: make([]byte, maxBehind)}}}, func() { close(synced) })
	ch.Frame(lead.Node, ch.Kind, b)
	if err := ch.Submit(7, paxos.Request{}, false); core.Promised() != 0 || !errors.Is(err, paxos.ErrFull) {
		t.Fatalf("taken while the disk is behind: epoch %d, %v", core.Promised().Round(), err)
	}
	<-synced
	ch.Frame(lead.Node, ch.Kind, b)
	if err := ch.Submit(7, paxos.Request{}, false); core.Promised().Round() != 5 || errors.Is(err, paxos.ErrFull) {
		t.Fatalf("not taken afterwards: epoch %d, %v", core.Promised().Round(), err)
	}
}
