package bluebellwal_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellraft"
	"bluebellhaven.org/bluebell/bluebellwal"
)

// entries returns log entries of term 1 with the indexes from first to last.
func entries(first, last uint64) []*pb.LogEntry {
	var all []*pb.LogEntry
	for i := first; i <= last; i++ {
		all = append(all, &pb.LogEntry{Index: i, Term: 1, Data: []byte("entry")})
	}
	return all
}

// writeLog saves two batches of entries to a new log. It returns the folder, the log file
// and the length of the file after the first batch.
func writeLog(t *testing.T) (dir, file string, afterFirst int64) {
	t.Helper()
	dir = t.TempDir()
	log, stored, err := bluebellwal.Open(bluebellwal.OS(), dir)
	require.NoError(t, err)
	require.Empty(t, stored.Entries)
	require.NoError(t, log.Save(bluebellraft.Ready{HardState: &pb.HardState{Term: 1, Vote: "a"}, Entries: entries(1, 3)}))
	file = filepath.Join(dir, "1.log")
	info, err := os.Stat(file)
	require.NoError(t, err)
	require.NoError(t, log.Save(bluebellraft.Ready{Entries: entries(4, 6)}))
	require.NoError(t, log.Close())
	return dir, file, info.Size()
}

func TestReopenReturnsSavedState(t *testing.T) {
	dir, _, _ := writeLog(t)
	for range 3 {
		log, stored, err := bluebellwal.Open(bluebellwal.OS(), dir)
		require.NoError(t, err)
		require.Len(t, stored.Entries, 6)
		require.Equal(t, "a", stored.HardState.Vote)
		require.NoError(t, log.Close())
	}
}

// An incomplete record at the end of the file was never acknowledged, so Open drops it and
// keeps all records before it.
func TestTruncatedFileLosesOnlyIncompleteRecord(t *testing.T) {
	dir, file, afterFirst := writeLog(t)
	content, err := os.ReadFile(file)
	require.NoError(t, err)
	for size := afterFirst; size < int64(len(content)); size++ {
		require.NoError(t, os.RemoveAll(dir))
		require.NoError(t, os.MkdirAll(dir, 0o700))
		require.NoError(t, os.WriteFile(file, content[:size], 0o600))
		log, stored, err := bluebellwal.Open(bluebellwal.OS(), dir)
		require.NoError(t, err, "file truncated to %d bytes", size)
		require.Len(t, stored.Entries, 3)
		require.NoError(t, log.Close())
	}
}

func TestFlippedBitReturnsErrCorrupt(t *testing.T) {
	dir, file, _ := writeLog(t)
	content, err := os.ReadFile(file)
	require.NoError(t, err)
	for bit := range 8 * len(content) {
		flipped := append([]byte(nil), content...)
		flipped[bit/8] ^= 1 << (bit % 8)
		require.NoError(t, os.WriteFile(file, flipped, 0o600))
		_, _, err := bluebellwal.Open(bluebellwal.OS(), dir)
		require.ErrorIs(t, err, bluebellwal.ErrCorrupt, "flipped bit %d", bit)
	}
}

func TestOpenRemovesTemporaryFileAndRejectsEmptyGeneration(t *testing.T) {
	dir, _, _ := writeLog(t)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "2.tmp"), []byte("half"), 0o600))
	log, stored, err := bluebellwal.Open(bluebellwal.OS(), dir)
	require.NoError(t, err)
	require.Len(t, stored.Entries, 6)
	require.NoFileExists(t, filepath.Join(dir, "2.tmp"))
	require.NoError(t, log.Close())

	// A log file is complete before it gets its name, so an empty one was damaged later.
	require.NoError(t, os.WriteFile(filepath.Join(dir, "9.log"), nil, 0o600))
	_, _, err = bluebellwal.Open(bluebellwal.OS(), dir)
	require.ErrorIs(t, err, bluebellwal.ErrCorrupt)
}

// After a failed operation the content of the file is unknown, so later writes must fail
// too. Opening the log again yields the state saved before the failure.
func TestWriteFailureIsFinal(t *testing.T) {
	errDisk := errors.New("no space left on device")
	for _, failingOperation := range []string{"Write", "Sync", "SyncDir", "Rename"} {
		t.Run(failingOperation, func(t *testing.T) {
			fs, failing := bluebellwal.OS(), false
			fail := func() error {
				if failing {
					return errDisk
				}
				return nil
			}
			create, syncDir, rename := fs.Create, fs.SyncDir, fs.Rename
			fs.Create = func(path string) (bluebellwal.File, error) {
				f, err := create(path)
				write, sync := f.Write, f.Sync
				if failingOperation == "Write" {
					f.Write = func(b []byte) (int, error) {
						if err := fail(); err != nil {
							return 0, err
						}
						return write(b)
					}
				}
				if failingOperation == "Sync" {
					f.Sync = func() error { return errors.Join(fail(), sync()) }
				}
				return f, err
			}
			if failingOperation == "SyncDir" {
				fs.SyncDir = func(dir string) error { return errors.Join(fail(), syncDir(dir)) }
			}
			if failingOperation == "Rename" {
				fs.Rename = func(from, to string) error {
					if err := fail(); err != nil {
						return err
					}
					return rename(from, to)
				}
			}
			dir := t.TempDir()
			log, _, err := bluebellwal.Open(fs, dir)
			require.NoError(t, err)
			require.NoError(t, log.Save(bluebellraft.Ready{Entries: entries(1, 2)}))
			failing = true
			// Compaction performs each of the operations.
			require.ErrorIs(t, log.Compact(&pb.RaftSnapshot{Index: 1, Term: 1}, entries(2, 2)), errDisk)
			failing = false
			require.ErrorIs(t, log.Save(bluebellraft.Ready{Entries: entries(3, 3)}), errDisk)

			log, stored, err := bluebellwal.Open(bluebellwal.OS(), dir)
			require.NoError(t, err)
			require.Equal(t, uint64(2), stored.Entries[len(stored.Entries)-1].Index)
			require.NoError(t, log.Close())
		})
	}
}
