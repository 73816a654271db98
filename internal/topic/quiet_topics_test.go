package topic

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"oxbowdeck/internal/ids"
)

// pubOn publishes the only message of a client's on a topic.
func pubOn(topic ids.Topic, client ids.Client) Command {
	return Command{Verb: Publish, Topic: topic, Client: client, Seq: 1, Body: []byte("body"), Keep: 500}
}

// TestQuietCursorsStayGood guards against cursors that lack nothing being refused, as EXPIRED, once
// more topics without history are in a shard than it remembers by name.
func TestQuietCursorsStayGood(t *testing.T) {
	bounds := small
	bounds.Quiet = 1000
	p := &play{State: New(bounds)}
	never := p.End()
	p.run(t, 0, pubOn("once", "ann"))
	after := p.End()
	for i := range 100 * bounds.Topics {
		p.run(t, ids.Millis(1+i), pubOn(ids.Topic(fmt.Sprint("other", i)), "bob"))
	}
	p.run(t, 100000)
	if p.Forgotten().Topics == 0 || p.Topics() > bounds.Topics {
		t.Fatalf("%d topics are remembered by name, %d were let go of", p.Topics(), p.Forgotten().Topics)
	}
	saved, err := p.Save()
	if err != nil {
		t.Fatal(err)
	}
	loaded := New(bounds)
	if err := loaded.Load(saved); err != nil {
		t.Fatal(err)
	}
	if again, _ := loaded.Save(); string(again) != string(saved) {
		t.Fatal("a loaded state is saved otherwise")
	}
	for name, state := range map[string]*State{"as it was": p.State, "from a snapshot": loaded} {
		q := &play{State: state, slot: p.slot}
		for round, published := range []bool{false, true} {
			if published {
				q.run(t, 100001, pubOn("never", "zoe"), pubOn("once", "zed"))
			}
			for _, c := range []struct {
				topic  ids.Topic
				cursor ids.Position
				good   bool
			}{
				{"never", never, true}, // nothing was said on it before
				{"once", after, true},  // it has what was said
				{"once", never, false}, // it lacks a message that was let go of
				{"other7", after, false},
				{"other7", p.End(), true},
			} {
				items, good := state.After(c.topic, c.cursor)
				if good != c.good {
					t.Errorf("%s, round %d: a cursor of %s at %v is good: %v, want %v", name, round, c.topic, c.cursor, good, c.good)
				}
				if published && c.topic != "other7" && len(items) != 1 {
					t.Errorf("%s: a cursor of %s brings %d messages, want 1", name, c.topic, len(items))
				}
			}
		}
	}
}

// TestQuietTableIsBounded: past its bound the table lets go of the oldest places, and one place
// stands for them; damaged tables are refused.
func TestQuietTableIsBounded(t *testing.T) {
	bounds := small
	bounds.Quiet = 20
	p := &play{State: New(bounds)}
	for i := range 100 {
		p.run(t, ids.Millis(1+i), pubOn(ids.Topic(fmt.Sprint("t", i)), "bob"))
	}
	end := p.End()
	p.run(t, 100000)
	if p.Quiet() > bounds.Quiet || p.Forgotten().Quiet == 0 {
		t.Fatalf("%d places are remembered, %d were let go of", p.Quiet(), p.Forgotten().Quiet)
	}
	if _, good := p.After("t0", 0); good {
		t.Error("a cursor that lacks a message of a topic that was forgotten is good")
	}
	if _, good := p.After("t0", end); !good {
		t.Error("a cursor newer than everything that was forgotten is refused")
	}
	saved, err := p.Save()
	if err != nil {
		t.Fatal(err)
	}
	if New(bounds).Load(saved[:len(saved)-1]) == nil {
		t.Error("half a table was taken for a whole one")
	}
	saved[len(saved)-quietBytes-1] ^= 0xff // a digest
	saved[len(saved)-quietBytes] ^= 0xff
	if New(bounds).Load(saved) == nil {
		t.Error("a table out of order was taken")
	}
}

// TestQuietTableAsAMap compares the table with a map, over topics that come again.
func TestQuietTableAsAMap(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 5))
	var table quietTopics
	want := map[ids.Topic]ids.Position{}
	for place := range 200 {
		var batch []quietTopic
		for range random.IntN(50) {
			name := ids.Topic(fmt.Sprint("t", random.IntN(3000)))
			at := ids.Position(1 + place*100 + random.IntN(100))
			batch = append(batch, quietTopic{digest: digestOf(name), trimmed: at})
			want[name] = max(want[name], at)
		}
		table.add(batch)
	}
	if table.count != len(want) {
		t.Fatalf("%d topics, want %d", table.count, len(want))
	}
	dropped := table.shorten(table.count / 2)
	for name, place := range want {
		if got := table.trimmed(name); place > dropped && got != place || place <= dropped && got != 0 {
			t.Errorf("%s is at %d, want %d; those up to %d were dropped", name, got, place, dropped)
		}
	}
}

// TestQuietTopicsTakeLittle: a million quiet topics take 16 bytes each, and room to grow.
func TestQuietTopicsTakeLittle(t *testing.T) {
	const topics, batch, most = 1_000_000, 25_000, 20
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	table := &quietTopics{}
	for first := 0; first < topics; first += batch {
		list := make([]quietTopic, batch)
		for i := range list {
			name := ids.Topic(fmt.Sprint("room.", first+i))
			list[i] = quietTopic{digest: digestOf(name), trimmed: ids.Position(first + i + 1)}
		}
		table.add(list)
	}
	taken := int(heap()-before) / topics
	t.Logf("%d bytes a topic", taken)
	if taken > most || table.count != topics {
		t.Errorf("%d topics take %d bytes each, want %d at most", table.count, taken, most)
	}
	runtime.KeepAlive(table)
}
