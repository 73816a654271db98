package storage

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/syndtr/goleveldb/leveldb/storage"
)

// Faults that a test may bring about at the disks of a running process, as the file that
// WatchFaults looks at names them.
const (
	FaultFull  = "full"  // every write is refused
	FaultStall = "stall" // nothing is answered
	FaultSlow  = "slow"  // each sync takes long
)

const (
	// faultPoll is how often the file is looked at.
	faultPoll = 20 * time.Millisecond
	// slowSync is how long a sync takes on a slow disk.
	slowSync = 150 * time.Millisecond
)

// fault is the fault in force, empty if there is none; nil where no test may bring any.
var fault atomic.Pointer[string]

// WatchFaults brings the faults about that a file names, for as long as it does. It is for
// tests of running processes; without a path it does nothing.
func WatchFaults(path string) {
	if path == "" {
		return
	}
	look := func() {
		text, _ := os.ReadFile(path) // none: no fault
		name := strings.TrimSpace(string(text))
		fault.Store(&name)
	}
	look()
	go func() {
		for {
			time.Sleep(faultPoll)
			look()
		}
	}()
}

// currentFault gives the fault in force, if any.
func currentFault() string {
	if name := fault.Load(); name != nil {
		return *name
	}
	return ""
}

// awaitDisk holds a call up for as long as the disk stalls, and tells whether it refuses.
func awaitDisk() error {
	for currentFault() == FaultStall {
		time.Sleep(faultPoll)
	}
	if currentFault() == FaultFull {
		return syscall.ENOSPC
	}
	return nil
}

// faultyWriter is a file on a disk that may have faults. What is written reaches the file with a
// sync alone, so that the end of the process loses the rest, as a loss of power does.
type faultyWriter struct {
	storage.Writer
	unsynced []byte
}

// Write keeps what is written, unless the disk refuses.
func (w *faultyWriter) Write(b []byte) (int, error) {
	if err := awaitDisk(); err != nil {
		return 0, err
	}
	w.unsynced = append(w.unsynced, b...)
	return len(b), nil
}

// Sync writes and syncs, unless the disk refuses.
func (w *faultyWriter) Sync() error {
	if err := awaitDisk(); err != nil {
		return err
	}
	if currentFault() == FaultSlow {
		time.Sleep(slowSync)
	}
	if err := w.flush(); err != nil {
		return err
	}
	return w.Writer.Sync()
}

// Close ends the writing; whoever reads the file in this process finds all of it.
func (w *faultyWriter) Close() error {
	if err := w.flush(); err != nil {
		return err
	}
	return w.Writer.Close()
}

func (w *faultyWriter) flush() error {
	n, err := w.Writer.Write(w.unsynced)
	w.unsynced = w.unsynced[n:]
	return err
}
