package bluebellvoter

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/uuid"

	"bluebellhaven.org/bluebell/bluebellwal"
)

// identityFile is the name of the file in the data folder that holds the identity.
const identityFile = "identity"

// LoadOrCreateIdentity returns the identity of this member of the log, which it reads from
// the data folder or, if there is none, creates there. The argument vm is the name of the VM
// or, in a core process, its peer address. With bootstrap, when the whole system is set up,
// the new identity is vm itself. Otherwise the folder replaces a lost disk, and the new
// identity is vm with a random suffix: such a member does not vote until it has been made a
// voter. An identity of another VM is an error.
func LoadOrCreateIdentity(fs bluebellwal.FS, dir, vm string, bootstrap bool) (string, error) {
	path := filepath.Join(dir, identityFile)
	data, err := fs.ReadFile(path)
	if err == nil {
		id := strings.TrimSpace(string(data))
		if VMOf(id) != vm {
			return "", fmt.Errorf("data folder belongs to VM %q, not %q", VMOf(id), vm)
		}
		return id, nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", fmt.Errorf("read identity file: %w", err)
	}
	id := vm
	if !bootstrap {
		id = vm + "/" + uuid.NewString()
	}
	return id, writeIdentity(fs, dir, path, id)
}

// writeIdentity writes the identity to a new file, syncs it and renames it to path, so that
// a crash leaves no partial identity.
func writeIdentity(fs bluebellwal.FS, dir, path, id string) error {
	if err := fs.MkdirAll(dir); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	f, err := fs.Create(path + ".new")
	if err != nil {
		return fmt.Errorf("create identity file: %w", err)
	}
	_, writeErr := f.Write([]byte(id + "\n"))
	if err := errors.Join(writeErr, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("write identity file: %w", err)
	}
	if err := errors.Join(fs.Rename(path+".new", path), fs.SyncDir(dir)); err != nil {
		return fmt.Errorf("rename identity file: %w", err)
	}
	return nil
}

// VMOf returns the name or, in a core process, the peer address of a member's VM: the part of
// its identity before the first slash, or all of an identity without one.
func VMOf(member string) string {
	vm, _, _ := strings.Cut(member, "/")
	return vm
}
