package storage

import (
	"log/slog"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"oxbowdeck/internal/codec"
	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
	"oxbowdeck/internal/paxos"
)

// recordBytes is about what a record takes in memory beside its entry's value.
const recordBytes = 64

// job is something to write, and what is told once it is on the disk.
type job struct {
	group       ids.Group
	records     []paxos.Record
	snapshot    *Snapshot
	generation  uint32 // of the snapshot's rows
	dropGroup   bool
	rows        map[string][]byte // small rows of the process itself, by key
	replaceable bool              // nobody waits: a newer one of the same row takes its place
	then        func()
}

// size is about what a job's records hold in memory.
func (j *job) size() (n int) {
	for _, r := range j.records {
		n += recordBytes
		if r.Entry != nil {
			n += len(r.Entry.Val)
		}
	}
	return n
}

// synced are the options of a write that is on the disk when it returns.
func synced() *opt.WriteOptions { return &opt.WriteOptions{Sync: true} }

// Save queues records; then runs once they are synced.
func (d *DB) Save(g ids.Group, records []paxos.Record, then func()) {
	d.add(job{group: g, records: records, then: then})
}

// SaveSnapshot queues a snapshot; entries below it go once it is durable.
func (d *DB) SaveSnapshot(g ids.Group, s Snapshot, then func()) {
	d.add(job{group: g, snapshot: &s, then: then})
}

// DropGroup queues the end of a group: all its rows go.
func (d *DB) DropGroup(g ids.Group) {
	d.mu.Lock()
	d.dropping[g] = true
	d.mu.Unlock()
	d.add(job{group: g, dropGroup: true, then: func() {
		d.mu.Lock()
		delete(d.dropping, g)
		d.mu.Unlock()
	}})
}

// Put writes a small row of the process itself. It returns once the row is synced,
// however long the disk takes, or once the process is told to end.
func (d *DB) Put(name string, val any) error {
	return d.PutAll(map[string]any{name: val})
}

// PutAll is Put for several rows under one sync: all of them or none.
func (d *DB) PutAll(vals map[string]any) error {
	rows := map[string][]byte{}
	for name, val := range vals {
		row, err := codec.Marshal(val)
		if err != nil {
			return errs.Wrap("encode "+name, "disk", err)
		}
		rows[named(name)] = row
	}
	written := make(chan struct{})
	d.add(job{rows: rows, then: func() { close(written) }})
	select {
	case <-written:
		return nil
	case <-d.stop.Done():
		return errs.Wrap("write rows", "disk", d.stop.Err())
	case <-d.done:
		return errs.Errorf("write rows", "disk", "the directory is closed")
	}
}

// PutAsync queues a small row of the process itself; the caller does not wait. One of
// the same name that is still queued is replaced.
func (d *DB) PutAsync(name string, val any) {
	row, err := codec.Marshal(val)
	if err != nil {
		slog.Warn("encode-failed", "row", name, "err", err)
		return
	}
	k := named(name)
	j := job{rows: map[string][]byte{k: row}, replaceable: true, then: func() {}}
	if !d.replace(k, j) {
		d.add(j)
	}
}

// replace puts a job in the place of a queued one of the same row; false when none is.
func (d *DB) replace(k string, j job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.jobs {
		if _, same := d.jobs[i].rows[k]; same && d.jobs[i].replaceable {
			d.jobs[i] = j
			return true
		}
	}
	return false
}

// add never blocks the caller: completions come back to the same actor.
func (d *DB) add(j job) {
	d.mu.Lock()
	d.jobs = append(d.jobs, j)
	d.behind += j.size()
	behind := d.behind
	d.mu.Unlock()
	if behind > mostBehind {
		invariant.Violated(invariant.QueuesBounded, "queue", "disk", "bytes", behind, "bound", mostBehind)
	}
	d.wakeWriter()
}

// mostBehind is far more than waits for a disk where whoever saves looks at Behind in time.
const mostBehind = 64 << 20

// Behind is how many bytes of records wait for the disk. Who saves what others
// send stops taking it in time: a disk may refuse for long.
func (d *DB) Behind() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.behind
}

// wakeWriter tells the writer to look at the queue again.
func (d *DB) wakeWriter() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// work writes what is queued, until the directory is closed.
func (d *DB) work() {
	defer close(d.done)
	var snapshots snapshotQueue
	for {
		jobs, closing := d.takeJobs()
		d.writeJobs(jobs, &snapshots)
		switch {
		case len(snapshots.jobs) > 0:
			d.writeSnapshotRow(&snapshots) // one a turn: records pass a snapshot
		case len(jobs) > 0:
		case closing:
			return
		default:
			<-d.wake
		}
	}
}

// takeJobs takes all that is queued.
func (d *DB) takeJobs() (jobs []job, closing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	jobs = d.jobs
	d.jobs = nil
	return jobs, d.closing
}

// writeJobs writes jobs under one sync, and tells of them; snapshots are queued apart.
func (d *DB) writeJobs(jobs []job, snapshots *snapshotQueue) {
	var batch leveldb.Batch
	size := 0
	for i := range jobs {
		j := &jobs[i]
		switch {
		case j.snapshot != nil:
			snapshots.add(*j)
		case j.dropGroup:
			snapshots.drop(j.group)
			// after what was saved before, and synced: rows of a replica that ended
			// must not come back among those of the next one here
			d.writeBatch(&batch)
			d.retry(func() error {
				return d.deleteRange(key(j.group, firstKind, 0), key(j.group, lastKind, 0), synced())
			})
		default:
			j.appendTo(&batch)
			size += j.size()
		}
	}
	d.writeBatch(&batch)
	d.mu.Lock()
	d.behind -= size
	d.mu.Unlock()
	for _, j := range jobs {
		if j.snapshot == nil {
			j.then()
		}
	}
}

// writeBatch writes a batch, synced, and empties it.
func (d *DB) writeBatch(b *leveldb.Batch) {
	if b.Len() == 0 {
		return
	}
	d.retry(func() error { return d.tables.Write(b, synced()) })
	b.Reset()
}

// deleteRange deletes the rows from one key to another.
func (d *DB) deleteRange(from, to []byte, how *opt.WriteOptions) error {
	rows := d.tables.NewIterator(&util.Range{Start: from, Limit: to}, &opt.ReadOptions{DontFillCache: true})
	defer rows.Release()
	var b leveldb.Batch
	for rows.Next() {
		b.Delete(rows.Key())
	}
	if b.Len() == 0 {
		return rows.Error()
	}
	return d.tables.Write(&b, how)
}
