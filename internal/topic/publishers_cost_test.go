package topic

import (
	"runtime"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/fxamacker/cbor/v2"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/paxos"
)

// clockThreadCPU is CLOCK_THREAD_CPUTIME_ID, which package syscall has no name for.
const clockThreadCPU = 3

// threadTime is the processor time of the calling thread: what others do on a busy machine takes
// none of it.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	var now syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockThreadCPU, uintptr(unsafe.Pointer(&now)), 0)
	if errno != 0 {
		t.Fatal(errno)
	}
	return time.Duration(now.Nano())
}

// busyPublisher applies so many publishes of one client to a state, all within the time for which
// numbers are remembered, and tells how much processor time the last thousand took.
func busyPublisher(t *testing.T, publishes int) time.Duration {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const batch = 100
	s := New(Bounds{Slack: 1000, Resend: 30_000, Publishers: 1000, Topics: 1000, Live: 10, SweepMs: 1000})
	var began time.Duration
	for slot := range publishes / batch {
		if slot == (publishes-1000)/batch {
			began = threadTime(t)
		}
		var value paxos.Value
		value.Stamp = ids.Millis(slot)
		for i := range batch {
			seq := ids.Seq(slot*batch + i + 1)
			data, err := cbor.Marshal(Command{Verb: Publish, Topic: "a.x", Client: "ann", Seq: seq, Edge: "e"})
			if err != nil {
				t.Fatal(err)
			}
			value.Reqs = append(value.Reqs, paxos.Request{ID: paxos.ID{Origin: "ann", Seq: uint64(seq)}, Data: data})
		}
		s.Apply(paxos.Decided{Slot: ids.Slot(slot + 1), Value: value}, func(Event) {})
	}
	return threadTime(t) - began
}

// TestBusyPublisherStaysCheap: what a publish costs does not grow with how many numbers of its
// client are remembered. One client that has many calls under way may send thousands a second, and
// each replica applies them all.
func TestBusyPublisherStaysCheap(t *testing.T) {
	const few, many, most, tries = 2000, 30_000, 6, 10
	short, long := busyPublisher(t, few), busyPublisher(t, many)
	for range tries - 1 { // a collection of garbage is no cost of theirs; one that grows shows in each try
		if long <= most*short {
			break
		}
		short, long = min(short, busyPublisher(t, few)), min(long, busyPublisher(t, many))
	}
	t.Logf("1000 publishes: %v after %d, %v after %d", short, few, long, many)
	if long > most*short {
		t.Errorf("1000 publishes take %v after %d and %v after %d", short, few, long, many)
	}
}
