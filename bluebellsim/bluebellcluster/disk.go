package bluebellcluster

import (
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"

	"bluebellhaven.org/bluebell/bluebellwal"
)

var errSync = errors.New("sync failed")

// inode is the content of a file; bytes after synced may be lost.
type inode struct {
	data   []byte
	synced int
}

// disk is a simulated disk that keeps what is synced.
type disk struct {
	rand *rand.Rand
	// names now, and those that survive a crash
	names, durable map[string]*inode
	// failSync makes the next sync fail; ignoreSync makes all of them do nothing.
	failSync, ignoreSync bool
	// bytes is the amount written.
	bytes int
}

func newDisk(r *rand.Rand) *disk {
	return &disk{rand: r, names: map[string]*inode{}, durable: map[string]*inode{}}
}

// crash loses what was not synced. Of the bytes after the last sync a random
// number survives, and of the changes of names all or none.
func (d *disk) crash() {
	if d.rand.IntN(2) == 0 {
		d.names = maps.Clone(d.durable)
	}
	d.durable = maps.Clone(d.names)
	for _, name := range sortedKeys(d.names) {
		node := d.names[name]
		if unsynced := len(node.data) - node.synced; unsynced > 0 {
			node.data = node.data[:node.synced+d.rand.IntN(unsynced+1)]
		}
		node.synced = len(node.data)
	}
	d.failSync = false
}

// flip changes one bit of the synced content, and tells whether there was any.
func (d *disk) flip() bool {
	for _, name := range sortedKeys(d.names) {
		node := d.names[name]
		if filepath.Ext(name) != ".log" || node.synced == 0 {
			continue
		}
		node.data[d.rand.IntN(node.synced)] ^= 1 << d.rand.IntN(8)
		return true
	}
	return false
}

func (d *disk) fs() bluebellwal.FS {
	return bluebellwal.FS{
		MkdirAll: func(string) error { return nil },
		List: func(dir string) ([]string, error) {
			var names []string
			for _, name := range sortedKeys(d.names) {
				if filepath.Dir(name) == dir {
					names = append(names, filepath.Base(name))
				}
			}
			return names, nil
		},
		ReadFile: func(path string) ([]byte, error) {
			if node := d.names[path]; node != nil {
				return append([]byte(nil), node.data...), nil
			}
			return nil, os.ErrNotExist
		},
		Create: func(path string) (bluebellwal.File, error) {
			node := &inode{}
			d.names[path] = node
			return d.file(node), nil
		},
		Rename: func(from, to string) error {
			d.names[to] = d.names[from]
			delete(d.names, from)
			return nil
		},
		Remove: func(path string) error { delete(d.names, path); return nil },
		SyncDir: func(string) error {
			if err := d.sync(); err != nil {
				return err
			}
			if !d.ignoreSync {
				d.durable = maps.Clone(d.names)
			}
			return nil
		},
	}
}

func (d *disk) file(node *inode) bluebellwal.File {
	return bluebellwal.File{
		Write: func(data []byte) (int, error) {
			node.data = append(node.data, data...)
			d.bytes += len(data)
			return len(data), nil
		},
		Sync: func() error {
			if err := d.sync(); err != nil {
				return err
			}
			if !d.ignoreSync {
				node.synced = len(node.data)
			}
			return nil
		},
		Close: func() error { return nil },
	}
}

func (d *disk) sync() error {
	if d.failSync {
		d.failSync = false
		return errSync
	}
	return nil
}
