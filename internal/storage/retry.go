package storage

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"time"

	lderr "github.com/syndtr/goleveldb/leveldb/errors"

	"oxbowdeck/internal/errs"
)

// Pauses between tries on a disk that refuses.
const (
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
)

// ErrDamaged tells that what the directory holds contradicts itself.
var ErrDamaged = errors.New("the directory is damaged")

// ErrBusy tells that what the disk holds is being dropped, or cannot be read now; try again soon.
var ErrBusy = errors.New("the disk is busy")

// damaged tells an error that no waiting mends.
func damaged(err error) bool {
	for e := err; e != nil; e = errors.Unwrap(e) {
		if e == ErrDamaged || lderr.IsCorrupted(e) {
			return true
		}
	}
	return false
}

// backoff gives the pauses between tries: each doubles, up to a bound, with jitter.
type backoff struct {
	pause time.Duration
}

// next gives the next pause.
func (b *backoff) next() time.Duration {
	if b.pause == 0 {
		b.pause = firstPause
	}
	jittered := b.pause/2 + rand.N(b.pause)
	b.pause = min(2*b.pause, lastPause)
	return jittered
}

// Until does f until the disk lets it, with jittered pauses. It ends with a
// directory that is damaged, or with the context, also while f is held up.
func Until(ctx context.Context, f func() error) error {
	var pauses backoff
	began := time.Now()
	for first := true; ; first = false {
		done := make(chan error, 1)
		go func() { done <- f() }()
		var err error
		select {
		case err = <-done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err == nil && !first {
			slog.Info("disk-recovered", "after_ms", time.Since(began).Milliseconds())
		}
		if err == nil || damaged(err) {
			return err
		}
		if first {
			slog.Warn("disk-refused", "err", err)
		}
		select {
		case <-time.After(pauses.next()):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// retry does a write until the disk takes it. What failed leaves the tables in a
// doubtful state, so they are opened anew first: what was synced is read back,
// what is written again is the same. Nobody is told of a write before that. False
// when it took more than one try.
//
// A disk may be full for as long as it likes: a replica that cannot write
// acknowledges nothing, and the group goes on without it; a process in its place
// would meet the same disk. Only damage ends it.
func (d *DB) retry(write func() error) bool {
	var pauses backoff
	began := time.Now()
	for first := true; ; first = false {
		err := d.try(write)
		if err == nil {
			if !first {
				slog.Info("disk-recovered", "after_ms", time.Since(began).Milliseconds())
			}
			return first
		}
		if first {
			slog.Warn("disk-refused", "err", err)
		}
		if d.isClosing() {
			runtime.Goexit() // an orderly end: nobody was told of it
		}
		if damaged(err) {
			d.fail(errs.Wrap("write", "disk", err))
		}
		time.Sleep(pauses.next())
		d.reopen()
	}
}

// try does a write if the tables are open.
func (d *DB) try(write func() error) error {
	if d.tables == nil {
		return errs.Errorf("write", "disk", "the tables are closed")
	}
	return write()
}

// reopen closes the tables and opens them anew, if the disk lets it.
func (d *DB) reopen() {
	d.closeTables()
	t, err := d.open()
	switch {
	case err == nil:
		d.swap(t)
	case damaged(err):
		d.fail(errs.Wrap("open", "disk", err))
	}
}

func (d *DB) isClosing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closing
}

// fail ends the writer: the directory is damaged.
func (d *DB) fail(err error) {
	if d.Failed != nil {
		d.Failed(err)
	}
	runtime.Goexit()
}
