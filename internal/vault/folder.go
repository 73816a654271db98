package vault

import (
	"errors"
	"os"
	"path/filepath"
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
	w, err := f.Storage.Create(fd)
	if err != nil || fd.Type == storage.TypeManifest { // that one's folder is synced below
		return w, err
	}
	return &fresh{Writer: w, in: f}, nil
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
}

func (t *tables) Close() {
	t.DB.Close()
	t.files.Close()
}

func openDir(dir string, o *opt.Options) (*tables, error) {
	ro := o.GetReadOnly()
	if _, err := os.Stat(dir); errors.Is(err, os.ErrNotExist) && !ro {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, err
		}
		if err := syncDir(filepath.Dir(dir)); err != nil {
			return nil, err
		}
	}
	files, err := storage.OpenFile(dir, ro)
	if err != nil {
		return nil, err
	}
	return openFiles(&folder{Storage: files, names: func() error { return syncDir(dir) }, torn: func() error { return torn(dir) }}, o)
}

func openFiles(files *folder, o *opt.Options) (*tables, error) {
	var err error
	if !o.GetReadOnly() {
		err = files.unborn()
	}
	if err == nil {
		var db *leveldb.DB
		if db, err = leveldb.Open(files, o); err == nil {
			return &tables{db, files}, nil
		}
	}
	files.Close()
	return nil, err
}

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
