package storage

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"

	"github.com/syndtr/goleveldb/leveldb"
	lderr "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"
)

// folder is goleveldb's file layer, with names made durable: it syncs its folder
// with the manifest alone, so after a loss of power a journal or a table made
// since might be gone, for all its own syncs. Here the first sync of a file is
// followed by one of the folder, before anything written to it is told of.
type folder struct {
	storage.Storage
	names func() error // syncs the folder
	torn  func() error // clears a first naming that was cut short
	syncs atomic.Int64 // how often that was done here
}

func (f *folder) Create(fd storage.FileDesc) (storage.Writer, error) {
	w, err := f.createBelow(fd)
	if err != nil || fd.Type == storage.TypeManifest { // that one's folder is synced below
		return w, err
	}
	return &fresh{Writer: w, in: f}, nil
}

// createBelow makes a file, on a disk that may have the faults of a test.
func (f *folder) createBelow(fd storage.FileDesc) (storage.Writer, error) {
	if fault.Load() == nil {
		return f.Storage.Create(fd)
	}
	if err := awaitDisk(); err != nil {
		return nil, err
	}
	w, err := f.Storage.Create(fd)
	if err != nil {
		return nil, err
	}
	return &faultyWriter{Writer: w}, nil
}

// fresh is a file that was just made.
type fresh struct {
	storage.Writer
	in    *folder
	named bool
}

func (w *fresh) Sync() error {
	if err := w.Writer.Sync(); err != nil || w.named {
		return err
	}
	w.in.syncs.Add(1)
	if err := w.in.names(); err != nil {
		return err
	}
	w.named = true
	return nil
}

// tables are goleveldb's, with the files under them.
type tables struct {
	*leveldb.DB
	files storage.Storage
	moved bool // its keys were of the old format
}

func (t *tables) Close() {
	t.DB.Close()
	t.files.Close()
}

func openDir(dir string, o *opt.Options) (*tables, error) {
	if _, err := os.Stat(dir); errors.Is(err, os.ErrNotExist) {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, err
		}
		if err := syncDir(filepath.Dir(dir)); err != nil {
			return nil, err
		}
	}
	files, err := storage.OpenFile(dir, false)
	if err != nil {
		return nil, err
	}
	return openFiles(&folder{
		Storage: files,
		names:   func() error { return syncDir(dir) },
		torn:    func() error { return torn(dir) },
	}, o)
}

func openFiles(files *folder, o *opt.Options) (*tables, error) {
	if err := files.unborn(); err != nil {
		files.Close()
		return nil, err
	}
	return openAll(files, o)
}

func openAll(files storage.Storage, o *opt.Options) (*tables, error) {
	db, err := leveldb.Open(files, o)
	if err == nil {
		var old bool
		if old, err = move(db); err == nil {
			return &tables{db, files, old}, nil
		}
		db.Close()
	}
	files.Close()
	return nil, err
}

// openCopy opens a folder for a tool: what it holds is read as the process would
// read it, and what that writes stays in memory. (goleveldb's own way to open one
// without writing fails where two journals were left.)
func openCopy(dir string, o *opt.Options) (*tables, error) {
	below, err := storage.OpenFile(dir, true)
	if err != nil {
		return nil, err
	}
	o.CompactionL0Trigger, o.WriteL0SlowdownTrigger, o.WriteL0PauseTrigger = 1<<20, 1<<20, 1<<20
	return openAll(&overlay{Storage: storage.NewMemStorage(), below: below, gone: map[storage.FileDesc]bool{}}, o)
}

// overlay is a folder that is read, and files in memory over it.
type overlay struct {
	storage.Storage
	below storage.Storage
	mu    sync.Mutex
	gone  map[storage.FileDesc]bool // made anew or removed: not read below
}

func (o *overlay) hide(fd storage.FileDesc) {
	o.mu.Lock()
	o.gone[fd] = true
	o.mu.Unlock()
}

func (o *overlay) hidden(fd storage.FileDesc) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gone[fd]
}

func (o *overlay) Create(fd storage.FileDesc) (storage.Writer, error) {
	o.hide(fd)
	return o.Storage.Create(fd)
}

func (o *overlay) Open(fd storage.FileDesc) (storage.Reader, error) {
	if o.hidden(fd) {
		return o.Storage.Open(fd)
	}
	return o.below.Open(fd)
}

func (o *overlay) Remove(fd storage.FileDesc) error {
	if o.hidden(fd) {
		return o.Storage.Remove(fd)
	}
	o.hide(fd)
	return nil
}

func (o *overlay) List(t storage.FileType) ([]storage.FileDesc, error) {
	all, err := o.Storage.List(t)
	below, err2 := o.below.List(t)
	for _, fd := range below {
		if !o.hidden(fd) {
			all = append(all, fd)
		}
	}
	return all, errors.Join(err, err2)
}

func (o *overlay) GetMeta() (storage.FileDesc, error) {
	if fd, err := o.Storage.GetMeta(); err == nil {
		return fd, nil
	}
	return o.below.GetMeta()
}

func (o *overlay) Close() error { return errors.Join(o.Storage.Close(), o.below.Close()) }

// unborn clears what is left of tables whose making was cut short by a full disk
// or a loss of power: no manifest is named, no journal was begun, so nothing was
// ever told of them. Left there, it would be read as damage at each start.
func (f *folder) unborn() error {
	_, named := f.GetMeta()
	if named == nil || !errors.Is(named, os.ErrNotExist) && !lderr.IsCorrupted(named) {
		return named
	}
	if data, err := f.List(storage.TypeJournal | storage.TypeTable); err != nil || len(data) > 0 {
		return err
	}
	if lderr.IsCorrupted(named) {
		if err := f.torn(); err != nil {
			return err
		}
	}
	left, err := f.List(storage.TypeManifest)
	for _, fd := range left {
		if err == nil {
			err = f.Remove(fd)
		}
	}
	return err
}

// torn removes the files that were to become the first to name a manifest.
func torn(dir string) error {
	for _, name := range []string{"CURRENT", "CURRENT.bak"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err == nil {
			return ErrDamaged // not the first
		} else if !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	all, err := filepath.Glob(filepath.Join(dir, "CURRENT.*"))
	for _, path := range all {
		if err == nil {
			err = os.Remove(path)
		}
	}
	return err
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
