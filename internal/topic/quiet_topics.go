package topic

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/statemachine"
)

// quietTopic is what is left of a topic without history: the place of its last message that was
// let go of. A cursor before it lacks that message, and one after it lacks nothing.
type quietTopic struct {
	digest  uint64 // of the topic's name
	trimmed ids.Position
}

const (
	quietBits  = 8                 // of the digest choose the part
	quietParts = 1 << quietBits    // that the table is divided into: one is copied at a time
	quietBytes = 16                // of one topic, in memory and in a snapshot
	quietChunk = 4096 * quietBytes // of a snapshot is one item
	quietShift = 64 - quietBits    // leaves the bits that choose the part
)

// quietTopics is a table of quiet topics that takes 16 bytes for each. In a part they are in the
// order of their digests.
type quietTopics struct {
	parts [quietParts][]quietTopic
	count int
}

// digestOf gives the first bytes of a name's SHA-256. Were two names alike in them, the later place
// would stand for both.
func digestOf(name ids.Topic) uint64 {
	sum := sha256.Sum256([]byte(name))
	return binary.BigEndian.Uint64(sum[:])
}

func compareDigest(a, b quietTopic) int { return cmp.Compare(a.digest, b.digest) }

// trimmed gives the last place of a topic that was let go of; 0 if it is not in the table.
func (q *quietTopics) trimmed(name ids.Topic) ids.Position {
	wanted := quietTopic{digest: digestOf(name)}
	part := q.parts[wanted.digest>>quietShift]
	if i, found := slices.BinarySearchFunc(part, wanted, compareDigest); found {
		return part[i].trimmed
	}
	return 0
}

// add takes topics in, or later places of topics.
func (q *quietTopics) add(topics []quietTopic) {
	slices.SortFunc(topics, func(a, b quietTopic) int {
		return cmp.Or(compareDigest(a, b), cmp.Compare(a.trimmed, b.trimmed))
	})
	for len(topics) > 0 {
		part := topics[0].digest >> quietShift
		end := 1
		for end < len(topics) && topics[end].digest>>quietShift == part {
			end++
		}
		before := q.parts[part]
		q.parts[part] = mergeQuiet(before, topics[:end])
		q.count += len(q.parts[part]) - len(before)
		topics = topics[end:]
	}
}

// mergeQuiet makes one part of two lists in the order of digests; the later place of a topic counts.
func mergeQuiet(a, b []quietTopic) []quietTopic {
	merged := make([]quietTopic, 0, len(a)+len(b))
	for len(a) > 0 || len(b) > 0 {
		var next quietTopic
		if len(b) == 0 || len(a) > 0 && a[0].digest <= b[0].digest {
			next, a = a[0], a[1:]
		} else {
			next, b = b[0], b[1:]
		}
		if n := len(merged); n > 0 && merged[n-1].digest == next.digest {
			merged[n-1].trimmed = max(merged[n-1].trimmed, next.trimmed)
			continue
		}
		merged = append(merged, next)
	}
	return merged
}

// shorten drops so many topics, those whose places are the oldest, and gives the last of these.
func (q *quietTopics) shorten(count int) ids.Position {
	places := make([]ids.Position, 0, q.count)
	for _, part := range q.parts {
		for _, t := range part {
			places = append(places, t.trimmed)
		}
	}
	slices.Sort(places)
	last := places[count-1]
	for i, part := range q.parts {
		kept := make([]quietTopic, 0, len(part))
		for _, t := range part {
			if t.trimmed > last {
				kept = append(kept, t)
			}
		}
		q.count += len(kept) - len(part)
		q.parts[i] = kept
	}
	return last
}

// errQuietTopics tells of a table that can't be.
var errQuietTopics = errors.New("quiet topics")

// save appends the table to a snapshot: the number of topics, then all of them in pieces.
func (q *quietTopics) save(w *statemachine.SnapshotWriter) {
	w.Write(q.count)
	chunk := make([]byte, 0, quietChunk)
	for _, part := range q.parts {
		for _, t := range part {
			chunk = binary.BigEndian.AppendUint64(chunk, t.digest)
			chunk = binary.BigEndian.AppendUint64(chunk, uint64(t.trimmed))
			if len(chunk) == quietChunk {
				w.Write(chunk)
				chunk = chunk[:0]
			}
		}
	}
	if len(chunk) > 0 {
		w.Write(chunk)
	}
}

// load reads what save wrote; a snapshot that ends before it has none.
func (q *quietTopics) load(r *statemachine.SnapshotReader) error {
	var count int
	if found, err := r.ReadLater("quiet topics", &count); !found {
		return err
	}
	if count < 0 {
		return fmt.Errorf("%w: %d of them", errQuietTopics, count)
	}
	var last quietTopic
	for read := 0; read < count; {
		var chunk []byte
		if err := r.Read("quiet topics", &chunk); err != nil {
			return err
		}
		if len(chunk) == 0 || len(chunk)%quietBytes != 0 || len(chunk)/quietBytes > count-read {
			return fmt.Errorf("%w: a piece of %d bytes", errQuietTopics, len(chunk))
		}
		for ; len(chunk) > 0; chunk = chunk[quietBytes:] {
			t := quietTopic{
				digest:  binary.BigEndian.Uint64(chunk),
				trimmed: ids.Position(binary.BigEndian.Uint64(chunk[quietBytes/2:])),
			}
			if read > 0 && t.digest <= last.digest {
				return fmt.Errorf("%w: not in order", errQuietTopics)
			}
			last = t
			part := t.digest >> quietShift
			q.parts[part] = append(q.parts[part], t)
			read++
		}
	}
	q.count = count
	return nil
}
