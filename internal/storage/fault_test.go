package storage

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// setFault brings a fault about until the test ends.
func setFault(t *testing.T, name string) {
	t.Helper()
	before := fault.Load()
	fault.Store(&name)
	t.Cleanup(func() { fault.Store(before) })
}

// TestFaults: what is not synced never reaches the file, a full disk refuses, a stalled one waits.
func TestFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	w := &faultyWriter{Writer: file}
	content := func() string {
		text, _ := os.ReadFile(path)
		return string(text)
	}
	w.Write([]byte("one"))
	if err := w.Sync(); err != nil || content() != "one" {
		t.Fatalf("%v: %q after a sync", err, content())
	}
	w.Write([]byte("two"))
	if content() != "one" {
		t.Fatalf("%q without a sync", content())
	}
	setFault(t, FaultFull)
	if _, err := w.Write([]byte("three")); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("a full disk takes a write: %v", err)
	}
	if err := w.Sync(); !errors.Is(err, syscall.ENOSPC) || content() != "one" {
		t.Fatalf("a full disk syncs: %v, %q", err, content())
	}
	setFault(t, FaultStall)
	done := make(chan error, 1)
	go func() { done <- w.Sync() }()
	select {
	case err := <-done:
		t.Fatalf("a stalled disk answers: %v", err)
	case <-time.After(5 * faultPoll):
	}
	setFault(t, "")
	if err := <-done; err != nil || content() != "onetwo" {
		t.Fatalf("%v: %q after the stall", err, content())
	}
}
