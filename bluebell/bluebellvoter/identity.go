package bluebellvoter

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/uuid"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellwal"
)

const (
	// identityFile is the name of the file in the data folder that holds the identity.
	identityFile = "identity"
	// membersFile is the name of the file in the data folder that holds the first voters of the log, one a line.
	membersFile = "members"
)

// Identity is what a data folder holds of the first start of its member of the log.
type Identity struct {
	// ID is the identity of the member.
	ID string
	// Members are the first members of the log. They are empty if the member joined later, since it then
	// receives the members from the leader.
	Members *pb.Members
}

// IdentityConfig configures LoadOrCreateIdentity.
type IdentityConfig struct {
	// FS holds the file operations on the data folder.
	FS bluebellwal.FS
	// Folder is the path of the data folder.
	Folder string
	// VM is the name of the VM or, in a core process, its peer address.
	VM string
	// Bootstrap is set while the whole system is set up, with Voters as the first voters of the log.
	Bootstrap bool
	Voters    []string
	// Unrecorded are the first voters to assume for a data folder of an earlier release, which did not record
	// them. If they are empty, the member waits for a leader to learn the members from.
	Unrecorded []string
}

// LoadOrCreateIdentity returns the identity of this member of the log and the first members, which it reads from
// the data folder or, at the first start, records there. What the settings say at later starts does not matter:
// they may name fewer voters, or others. With Bootstrap the new identity is VM itself. Otherwise the folder
// replaces a lost disk, and the new identity is VM with a random suffix: such a member does not vote until it
// has been made a voter. An identity of another VM is an error.
func LoadOrCreateIdentity(cfg IdentityConfig) (Identity, error) {
	id, err := readIfExists(cfg.FS, filepath.Join(cfg.Folder, identityFile))
	if err != nil {
		return Identity{}, fmt.Errorf("read identity file: %w", err)
	}
	recorded, err := readIfExists(cfg.FS, filepath.Join(cfg.Folder, membersFile))
	if err != nil {
		return Identity{}, fmt.Errorf("read members file: %w", err)
	}
	if id == nil {
		return createIdentity(cfg, recorded)
	}
	identity := Identity{ID: strings.TrimSpace(string(id)), Members: &pb.Members{}}
	switch {
	case VMOf(identity.ID) != cfg.VM:
		return Identity{}, fmt.Errorf("data folder belongs to VM %q, not %q", VMOf(identity.ID), cfg.VM)
	case identity.ID != cfg.VM:
	case recorded != nil:
		identity.Members.Voters = strings.Fields(string(recorded))
	default:
		identity.Members.Voters = cfg.Unrecorded
	}
	return identity, nil
}

// createIdentity creates the files of a data folder without an identity. Members that are recorded already are
// those of a first start that was interrupted before the member could vote.
func createIdentity(cfg IdentityConfig, recorded []byte) (Identity, error) {
	identity := Identity{ID: cfg.VM, Members: &pb.Members{}}
	switch {
	case recorded != nil:
		identity.Members.Voters = strings.Fields(string(recorded))
	case cfg.Bootstrap:
		identity.Members.Voters = cfg.Voters
		// The identity is written last, so that no member votes before the first members are durable.
		if err := writeFile(cfg.FS, cfg.Folder, membersFile, strings.Join(cfg.Voters, "\n")+"\n"); err != nil {
			return Identity{}, err
		}
	default:
		identity.ID = cfg.VM + "/" + uuid.NewString()
	}
	return identity, writeFile(cfg.FS, cfg.Folder, identityFile, identity.ID+"\n")
}

// readIfExists returns the content of a file, or nil if there is none.
func readIfExists(fs bluebellwal.FS, path string) ([]byte, error) {
	data, err := fs.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if data == nil && err == nil {
		data = []byte{}
	}
	return data, err
}

// writeFile writes a new file, syncs it and renames it to its name in a folder, so that a crash leaves no partial
// file.
func writeFile(fs bluebellwal.FS, dir, name, content string) error {
	if err := fs.MkdirAll(dir); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	path := filepath.Join(dir, name)
	f, err := fs.Create(path + ".new")
	if err != nil {
		return fmt.Errorf("create %s file: %w", name, err)
	}
	_, writeErr := f.Write([]byte(content))
	if err := errors.Join(writeErr, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("write %s file: %w", name, err)
	}
	if err := errors.Join(fs.Rename(path+".new", path), fs.SyncDir(dir)); err != nil {
		return fmt.Errorf("rename %s file: %w", name, err)
	}
	return nil
}

// VMOf returns the name or, in a core process, the peer address of a member's VM: the part of
// its identity before the first slash, or all of an identity without one.
func VMOf(member string) string {
	vm, _, _ := strings.Cut(member, "/")
	return vm
}
