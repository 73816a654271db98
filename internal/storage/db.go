// Package storage keeps a process's durable state in goleveldb: promises,
// accepted entries, snapshots and the identity of the disk. One goroutine owns
// the writes; whatever waits when the disk is free goes down under one sync.
//
// A DB is opened and closed in db.go. writer.go queues and does the writes, retry.go does
// them again on a disk that refuses, snapshot.go writes snapshots a row at a time, reader.go
// reads. The rows and their keys are in rows.go; folder.go is the file layer under goleveldb.
package storage

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
)

// DB is an open data directory.
type DB struct {
	// Failed is told that the directory is damaged: it cannot be written on.
	Failed func(error)

	open    func() (*tables, error)
	stop    context.Context // ended: what waits for the disk gives up
	offline bool            // read by a tool: nothing is waited for

	tablesMu sync.RWMutex // held while the tables change
	tables   *tables      // nil while they are opened anew

	mu       sync.Mutex
	jobs     []job              // bounded by who looks at Behind, and by one for each small row
	behind   int                // bytes of records queued or being written
	closing  bool               // no more is queued
	dropping map[ids.Group]bool // groups that are being dropped

	wake       chan struct{} // there are jobs, or the end
	done       chan struct{} // closed when the writer has ended
	compacting sync.Mutex    // held by a compaction that was asked for, and while tables close
}

// folderSyncInterval is how often the folder itself is synced.
const folderSyncInterval = 2 * time.Second

// closeTimeout bounds the wait for a disk that hangs at the end: what it did not
// take was told to nobody.
const closeTimeout = 2 * time.Second

// Open opens or makes the directory. A disk that is full, stalled or fails is
// waited for, until the context ends. Reading a closed one for the tools:
// readOnly, which waits for nothing.
func Open(ctx context.Context, dir string, readOnly bool) (*DB, error) {
	return openTuned(ctx, dir, options(readOnly))
}

// OpenBulk opens one that much is written to and soon dropped: its journals are
// larger and its tables seldom merged, so most of what a snapshot makes needless
// is dropped before it was written a second time.
func OpenBulk(ctx context.Context, dir string) (*DB, error) {
	o := options(false)
	o.WriteBuffer = 4 << 20
	o.CompactionTableSize = 8 << 20
	o.CompactionL0Trigger = 12
	o.WriteL0SlowdownTrigger = 32
	o.WriteL0PauseTrigger = 48
	return openTuned(ctx, dir, o)
}

// options are those of every directory.
func options(readOnly bool) *opt.Options {
	return &opt.Options{
		WriteBuffer:            1 << 20,
		BlockCacheCapacity:     128 << 10,
		OpenFilesCacheCapacity: 16,
		DisableSeeksCompaction: true,
		Compression:            opt.NoCompression,
		// a large batch goes the way of the others: in a transaction of its own, one
		// that the disk refuses at its end holds the tables' lock for good
		DisableLargeBatchTransaction: true,
		ErrorIfMissing:               readOnly,
	}
}

func openTuned(ctx context.Context, dir string, o *opt.Options) (*DB, error) {
	open := func() (*tables, error) { return openDir(dir, o) }
	if o.ErrorIfMissing {
		t, err := openCopy(dir, o)
		if err != nil {
			return nil, errs.Wrap("open", dir, err)
		}
		d := begin(ctx, t, open)
		d.offline = true
		return d, nil
	}
	d, err := openWith(ctx, dir, open)
	if err == nil {
		go d.syncFolder(dir, folderSyncInterval)
	}
	return d, err
}

// openWith opens tables once the disk lets it.
func openWith(ctx context.Context, name string, open func() (*tables, error)) (*DB, error) {
	var t *tables
	err := Until(ctx, func() (err error) {
		t, err = open()
		return err
	})
	if err != nil {
		return nil, errs.Wrap("open", name, err)
	}
	return begin(ctx, t, open), nil
}

// begin starts the writer on tables that are open.
func begin(ctx context.Context, t *tables, open func() (*tables, error)) *DB {
	d := &DB{
		open:     open,
		stop:     ctx,
		tables:   t,
		dropping: map[ids.Group]bool{},
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	go d.work()
	return d
}

// syncFolder syncs the folder from time to time. The tables remove files without
// that: a removal that is not synced may be undone by a loss of power, so until
// then the file system keeps the room, and a queue writes many files.
func (d *DB) syncFolder(dir string, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for refused := false; ; {
		select {
		case <-ticker.C:
		case <-d.done:
			return
		}
		err := syncDir(dir)
		if err != nil && !refused {
			slog.Warn("folder-sync-failed", "err", err)
		}
		refused = err != nil
	}
}

// Close waits for what is queued, unless the disk refuses it.
func (d *DB) Close() {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	d.wakeWriter()
	closed := make(chan struct{})
	go func() {
		<-d.done
		d.closeTables()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
		slog.Warn("disk-stalled", "at", "close")
	}
}

// swap puts other tables in place once nobody reads those there.
func (d *DB) swap(t *tables) (old *tables) {
	d.tablesMu.Lock()
	defer d.tablesMu.Unlock()
	old = d.tables
	d.tables = t
	return old
}

// closeTables closes the tables that are open. A compaction of them that was asked
// for ends first: goleveldb's CompactRange, when it gives up, closes the channel that
// its compactions still answer on, and gives back a buffer to a pool that Close closes.
func (d *DB) closeTables() {
	old := d.swap(nil)
	if old == nil {
		return
	}
	d.compacting.Lock()
	defer d.compacting.Unlock()
	old.Close()
}

// Compact gives back the room of rows that were dropped, beside other work. It does
// nothing while one before it goes on, or the tables close.
func (d *DB) Compact() {
	if !d.compacting.TryLock() {
		return
	}
	go func() {
		defer d.compacting.Unlock()
		d.tablesMu.RLock()
		t := d.tables
		d.tablesMu.RUnlock()
		if t != nil {
			t.CompactRange(util.Range{}) // refused: the next look at the room asks again
		}
	}()
}

// Size is how many bytes the directory takes.
func Size(dir string) (n int64) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			n += info.Size()
		}
	}
	return n
}
