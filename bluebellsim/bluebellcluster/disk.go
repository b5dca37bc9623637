package bluebellcluster

import (
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"

	"bluebellhaven.org/bluebell/bluebellwal"
)

var errSync = errors.New("simulated sync failure")

// inode is the content of a file. A crash may lose the bytes after offset synced.
type inode struct {
	data   []byte
	synced int
}

// disk is a simulated disk that keeps synced data over a crash.
type disk struct {
	rand *rand.Rand
	// files holds the files by path, durableFiles those whose names certainly survive a
	// crash.
	files, durableFiles map[string]*inode
	// failNextSync makes the next sync fail. ignoreSyncs makes all syncs have no effect.
	failNextSync, ignoreSyncs bool
	// bytesWritten counts all bytes written so far.
	bytesWritten int
}

func newDisk(r *rand.Rand) *disk {
	return &disk{rand: r, files: map[string]*inode{}, durableFiles: map[string]*inode{}}
}

// crash simulates a power loss. Of the bytes after the last sync of a file a random
// number survives. Unsynced creations, renames and removals survive all or not at all.
func (d *disk) crash() {
	if d.rand.IntN(2) == 0 {
		d.files = maps.Clone(d.durableFiles)
	}
	d.durableFiles = maps.Clone(d.files)
	for _, name := range sortedKeys(d.files) {
		node := d.files[name]
		if unsynced := len(node.data) - node.synced; unsynced > 0 {
			node.data = node.data[:node.synced+d.rand.IntN(unsynced+1)]
		}
		node.synced = len(node.data)
	}
	d.failNextSync = false
}

// flipBit flips a random bit in the synced content of the first log file that has any,
// and reports whether there is one.
func (d *disk) flipBit() bool {
	for _, name := range sortedKeys(d.files) {
		node := d.files[name]
		if filepath.Ext(name) != ".log" || node.synced == 0 {
			continue
		}
		node.data[d.rand.IntN(node.synced)] ^= 1 << d.rand.IntN(8)
		return true
	}
	return false
}

// fs returns the file system that the write-ahead log uses.
func (d *disk) fs() bluebellwal.FS {
	return bluebellwal.FS{
		MkdirAll: func(string) error { return nil },
		List: func(dir string) ([]string, error) {
			var names []string
			for _, name := range sortedKeys(d.files) {
				if filepath.Dir(name) == dir {
					names = append(names, filepath.Base(name))
				}
			}
			return names, nil
		},
		ReadFile: func(path string) ([]byte, error) {
			if node := d.files[path]; node != nil {
				return append([]byte(nil), node.data...), nil
			}
			return nil, os.ErrNotExist
		},
		Create: func(path string) (bluebellwal.File, error) {
			node := &inode{}
			d.files[path] = node
			return d.openFile(node), nil
		},
		Rename: func(from, to string) error {
			d.files[to] = d.files[from]
			delete(d.files, from)
			return nil
		},
		Remove: func(path string) error { delete(d.files, path); return nil },
		SyncDir: func(string) error {
			if err := d.sync(); err != nil {
				return err
			}
			if !d.ignoreSyncs {
				d.durableFiles = maps.Clone(d.files)
			}
			return nil
		},
	}
}

func (d *disk) openFile(node *inode) bluebellwal.File {
	return bluebellwal.File{
		Write: func(data []byte) (int, error) {
			node.data = append(node.data, data...)
			d.bytesWritten += len(data)
			return len(data), nil
		},
		Sync: func() error {
			if err := d.sync(); err != nil {
				return err
			}
			if !d.ignoreSyncs {
				node.synced = len(node.data)
			}
			return nil
		},
		Close: func() error { return nil },
	}
}

func (d *disk) sync() error {
	if d.failNextSync {
		d.failNextSync = false
		return errSync
	}
	return nil
}
