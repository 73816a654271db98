package process

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestSettingsChange: with a signal, and without one.
func TestSettingsChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	os.WriteFile(path, []byte("a=1\n"), 0o644)
	ctx, stop := context.WithCancel(context.Background())
	seen := make(chan struct{}, 10)
	file := settingsFile{path: path}
	file.reread()
	done := make(chan struct{})
	go func() {
		file.watch(ctx, 10*time.Millisecond, func() { file.reread(); seen <- struct{}{} })
		close(done)
	}()
	time.Sleep(50 * time.Millisecond)
	for _, change := range []func(){
		func() { os.WriteFile(path, []byte("a=22\n"), 0o644) },
		func() { syscall.Kill(os.Getpid(), syscall.SIGHUP) },
	} {
		change()
		select {
		case <-seen:
		case <-time.After(5 * time.Second):
			t.Fatal("a change went unseen")
		}
	}
	time.Sleep(50 * time.Millisecond)
	if len(seen) > 0 {
		t.Fatal("read again without a change")
	}
	stop()
	<-done
}
