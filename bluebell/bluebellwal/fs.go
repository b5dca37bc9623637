package bluebellwal

import (
	"os"
	"path/filepath"
)

// FS holds the file operations that the log needs. Tests and simulations replace them to
// inject faults.
type FS struct {
	// MkdirAll creates a folder and its missing parents.
	MkdirAll func(dir string) error
	// List returns the names of the files in a folder.
	List     func(dir string) ([]string, error)
	ReadFile func(path string) ([]byte, error)
	// Create creates an empty file for writing and truncates an existing one.
	Create func(path string) (File, error)
	Rename func(from, to string) error
	Remove func(path string) error
	// SyncDir makes renames within a folder durable.
	SyncDir func(dir string) error
}

// File holds the operations of an open file. Write appends to the file.
type File struct {
	Write func(data []byte) (int, error)
	Sync  func() error
	Close func() error
}

// OS returns the file operations of the operating system. Only the current user can read
// the files and folders that they create.
func OS() FS {
	return FS{
		MkdirAll: func(dir string) error { return os.MkdirAll(dir, 0o700) },
		List:     listFiles,
		ReadFile: os.ReadFile,
		Create:   createFile,
		Rename:   os.Rename,
		Remove:   os.Remove,
		SyncDir:  syncDir,
	}
}

func listFiles(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, filepath.Base(e.Name()))
	}
	return names, nil
}

func createFile(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return File{}, err
	}
	return File{Write: f.Write, Sync: f.Sync, Close: f.Close}, nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	syncErr := d.Sync()
	if err := d.Close(); err != nil {
		return err
	}
	return syncErr
}
