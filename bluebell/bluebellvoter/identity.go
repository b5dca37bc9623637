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

const identityFile = "identity"

// LoadOrCreateIdentity returns the identity under which this data folder takes part in
// the log. A folder that is set up together with the whole system has the VM's
// name; one that replaces a lost disk has a new identity, which does not vote
// until it has been made a voter.
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
		return "", fmt.Errorf("identity: %w", err)
	}
	id := vm
	if !bootstrap {
		id = vm + "/" + uuid.NewString()
	}
	return id, writeIdentity(fs, dir, path, id)
}

func writeIdentity(fs bluebellwal.FS, dir, path, id string) error {
	if err := fs.MkdirAll(dir); err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	f, err := fs.Create(path + ".new")
	if err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	_, writeErr := f.Write([]byte(id + "\n"))
	if err := errors.Join(writeErr, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	if err := errors.Join(fs.Rename(path+".new", path), fs.SyncDir(dir)); err != nil {
		return fmt.Errorf("identity: %w", err)
	}
	return nil
}

// VMOf returns the VM of a member of the log.
func VMOf(member string) string {
	vm, _, _ := strings.Cut(member, "/")
	return vm
}
