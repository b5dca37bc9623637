package bluebellvoter_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhaven.org/bluebell/bluebellvoter"
	"bluebellhaven.org/bluebell/bluebellwal"
)

var firstVoters = []string{"a:1", "b:1", "c:1"}

// load loads the identity of VM a:1 from a folder, with settings that name the given voters.
func load(t *testing.T, folder string, bootstrap bool, voters, unrecorded []string) bluebellvoter.Identity {
	t.Helper()
	identity, err := bluebellvoter.LoadOrCreateIdentity(bluebellvoter.IdentityConfig{
		FS: bluebellwal.OS(), Folder: folder, VM: "a:1", Bootstrap: bootstrap, Voters: voters, Unrecorded: unrecorded,
	})
	require.NoError(t, err)
	return identity
}

// Guards against members that follow the settings of later starts.
func TestFirstMembersAreThoseOfTheFirstStart(t *testing.T) {
	for _, bootstrap := range []bool{false, true} {
		folder := t.TempDir()
		require.Equal(t, firstVoters, load(t, folder, true, firstVoters, nil).Members.Voters)
		for _, voters := range [][]string{{"b:1", "c:1"}, {"a:1"}, nil, {"a:1", "x:1", "y:1"}} {
			identity := load(t, folder, bootstrap, voters, voters)
			require.Equal(t, "a:1", identity.ID)
			require.Equal(t, firstVoters, identity.Members.Voters)
		}
	}
}

// Guards against a VM in reserve that becomes a voter because later settings name it.
func TestVMThatWasNoFirstVoterHasNoMembers(t *testing.T) {
	folder := t.TempDir()
	require.Empty(t, load(t, folder, true, nil, nil).Members.Voters)
	require.Empty(t, load(t, folder, true, firstVoters, firstVoters).Members.Voters)
}

// Guards against a replaced disk that votes.
func TestMemberWithNewDiskHasNoMembers(t *testing.T) {
	folder := t.TempDir()
	for range 2 {
		identity := load(t, folder, false, firstVoters, firstVoters)
		require.True(t, strings.HasPrefix(identity.ID, "a:1/"), identity.ID)
		require.Empty(t, identity.Members.Voters)
	}
}

// Guards against a core without voters after all processes were killed during their first start: the second one is
// not a bootstrap any more.
func TestFirstStartThatWasInterruptedIsContinued(t *testing.T) {
	for _, failing := range []string{"create", "rename"} {
		folder := t.TempDir()
		fs := bluebellwal.OS()
		create, rename := fs.Create, fs.Rename
		fs.Create = func(path string) (bluebellwal.File, error) {
			if failing == "create" && strings.HasSuffix(path, "identity.new") {
				return bluebellwal.File{}, errors.New("killed")
			}
			return create(path)
		}
		fs.Rename = func(from, to string) error {
			if failing == "rename" && filepath.Base(to) == "identity" {
				return errors.New("killed")
			}
			return rename(from, to)
		}
		_, err := bluebellvoter.LoadOrCreateIdentity(bluebellvoter.IdentityConfig{FS: fs, Folder: folder, VM: "a:1", Bootstrap: true, Voters: firstVoters})
		require.Error(t, err)
		for range 2 {
			identity := load(t, folder, false, []string{"b:1", "c:1"}, nil)
			require.Equal(t, "a:1", identity.ID)
			require.Equal(t, firstVoters, identity.Members.Voters)
		}
	}
}

// Guards against a data folder of an earlier release that loses its vote, or that votes with a replaced disk.
func TestFolderWithoutRecordedMembers(t *testing.T) {
	for id, want := range map[string][]string{"a:1": {"a:1", "b:1"}, "a:1/x": nil} {
		folder := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(folder, "identity"), []byte(id+"\n"), 0o600))
		identity := load(t, folder, false, []string{"b:1"}, []string{"a:1", "b:1"})
		require.Equal(t, id, identity.ID)
		require.Equal(t, want, identity.Members.Voters)
	}
}
