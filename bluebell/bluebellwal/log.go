package bluebellwal

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellraft"
)

const (
	logSuffix  = ".log"
	tempSuffix = ".tmp"
)

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	fs  FS
	dir string
	// generation is the number of the current file; 0 if there is none yet.
	generation uint64
	file       File
	// size is the length of the current file in bytes.
	size uint64
	// hardState is the latest saved hard state. Each new generation contains it.
	hardState *pb.HardState
	// failure is the first write error. All later writes return it.
	failure error
}

// Open reads the durable state from a folder and writes it to a new generation. An empty
// or missing folder yields an empty state. The error matches ErrCorrupt if a complete
// record is damaged.
func Open(fs FS, dir string) (*Log, bluebellraft.DurableState, error) {
	var stored bluebellraft.DurableState
	l := &Log{fs: fs, dir: dir, hardState: &pb.HardState{}}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, stored, fmt.Errorf("create log folder: %w", err)
	}
	latest, err := l.latestGeneration()
	if err != nil {
		return nil, stored, err
	}
	if latest > 0 {
		stored, err = l.readGeneration(latest)
		if err != nil {
			return nil, stored, err
		}
		l.generation = latest
	}
	if stored.HardState != nil {
		l.hardState = stored.HardState
	}
	if err := l.rotate(stored.Snapshot, stored.Entries); err != nil {
		return nil, stored, err
	}
	return l, stored, nil
}

// Size returns the length of the current log file in bytes.
func (l *Log) Size() uint64 { return l.size }

// Save makes the hard state, snapshot and entries of a Ready durable. After an error, all
// further calls of Save and Compact return that error.
func (l *Log) Save(r bluebellraft.Ready) error {
	if l.failure != nil {
		return l.failure
	}
	if r.HardState != nil {
		l.hardState = r.HardState
	}
	if r.Snapshot != nil {
		return l.recordFailure(l.rotate(r.Snapshot, r.Entries))
	}
	var buf []byte
	var err error
	if r.HardState != nil {
		buf, err = appendRecord(buf, l.size, hardStateRecord, r.HardState)
	}
	if err == nil && len(r.Entries) > 0 {
		buf, err = appendRecord(buf, l.size, entriesRecord, &pb.RaftMessage{Entries: r.Entries})
	}
	if err != nil {
		return l.recordFailure(err)
	}
	if len(buf) == 0 {
		return nil
	}
	return l.recordFailure(l.writeAndSync(buf))
}

// Compact replaces the log by a snapshot and the entries that follow it. After an error,
// all further calls of Save and Compact return that error.
func (l *Log) Compact(s *pb.RaftSnapshot, entries []*pb.LogEntry) error {
	if l.failure != nil {
		return l.failure
	}
	return l.recordFailure(l.rotate(s, entries))
}

// Close closes the log file.
func (l *Log) Close() error { return l.file.Close() }

// recordFailure stores an error, if there is one, for later calls, and returns the stored
// error.
func (l *Log) recordFailure(err error) error {
	if err != nil {
		l.failure = fmt.Errorf("write-ahead log cannot be written: %w", err)
	}
	return l.failure
}

// writeAndSync appends buf to the log file and makes it durable.
func (l *Log) writeAndSync(buf []byte) error {
	if _, err := l.file.Write(buf); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.size += uint64(len(buf))
	return nil
}

// rotate writes a new generation with the snapshot, the latest hard state and the entries.
// Once it is durable, rotate removes the old generation.
func (l *Log) rotate(s *pb.RaftSnapshot, entries []*pb.LogEntry) error {
	var buf []byte
	var err error
	if s != nil {
		buf, err = appendRecord(buf, 0, snapshotRecord, s)
	}
	if err == nil {
		buf, err = appendRecord(buf, 0, hardStateRecord, l.hardState)
	}
	if err == nil && len(entries) > 0 {
		buf, err = appendRecord(buf, 0, entriesRecord, &pb.RaftMessage{Entries: entries})
	}
	if err != nil {
		return err
	}
	nextGeneration := l.generation + 1
	tempPath := filepath.Join(l.dir, strconv.FormatUint(nextGeneration, 10)+tempSuffix)
	file, err := l.fs.Create(tempPath)
	if err != nil {
		return err
	}
	if l.file.Close != nil {
		if err := l.file.Close(); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	l.file, l.size = file, 0
	if err := l.writeAndSync(buf); err != nil {
		return err
	}
	if err := l.fs.Rename(tempPath, l.path(nextGeneration)); err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return err
	}
	oldGeneration := l.generation
	l.generation = nextGeneration
	if oldGeneration == 0 {
		return nil
	}
	return l.fs.Remove(l.path(oldGeneration))
}

// path returns the path of the log file of a generation.
func (l *Log) path(generation uint64) string {
	return filepath.Join(l.dir, strconv.FormatUint(generation, 10)+logSuffix)
}

// latestGeneration returns the number of the newest log file, or 0 if there is none. It
// removes the temporary files and older generations that an interrupted rotation left.
func (l *Log) latestGeneration() (uint64, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return 0, fmt.Errorf("list log folder: %w", err)
	}
	var found []uint64
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
				return 0, fmt.Errorf("remove temporary log file: %w", err)
			}
			continue
		}
		if base, ok := strings.CutSuffix(name, logSuffix); ok {
			if g, err := strconv.ParseUint(base, 10, 64); err == nil {
				found = append(found, g)
			}
		}
	}
	if len(found) == 0 {
		return 0, nil
	}
	latest := slices.Max(found)
	for _, g := range found {
		if g < latest {
			if err := l.fs.Remove(l.path(g)); err != nil {
				return 0, fmt.Errorf("remove old log generation: %w", err)
			}
		}
	}
	return latest, nil
}

// readGeneration reads the durable state from the log file of a generation.
func (l *Log) readGeneration(generation uint64) (bluebellraft.DurableState, error) {
	var stored bluebellraft.DurableState
	data, err := l.fs.ReadFile(l.path(generation))
	if err != nil {
		return stored, fmt.Errorf("read write-ahead log: %w", err)
	}
	_, err = readRecords(data, func(t recordType, payload []byte) error {
		return restoreRecord(&stored, t, payload)
	})
	if err == nil && stored.HardState == nil {
		// A file is renamed to its generation only after its hard state is durable.
		err = fmt.Errorf("%w: generation %d has no hard state", ErrCorrupt, generation)
	}
	return stored, err
}

// restoreRecord decodes the payload of one record and applies it to the stored state.
func restoreRecord(stored *bluebellraft.DurableState, t recordType, payload []byte) error {
	switch t {
	case snapshotRecord:
		stored.Snapshot = &pb.RaftSnapshot{}
		return proto.Unmarshal(payload, stored.Snapshot)
	case hardStateRecord:
		stored.HardState = &pb.HardState{}
		return proto.Unmarshal(payload, stored.HardState)
	case entriesRecord:
		var batch pb.RaftMessage
		if err := proto.Unmarshal(payload, &batch); err != nil {
			return err
		}
		return restoreEntries(stored, batch.Entries)
	}
	return fmt.Errorf("unknown record type %d", t)
}

// restoreEntries appends entries to the stored ones. They replace all stored entries from
// the index of the first one on.
func restoreEntries(stored *bluebellraft.DurableState, entries []*pb.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	start := stored.Snapshot.GetIndex() + 1
	first := entries[0].Index
	if first < start || first > start+uint64(len(stored.Entries)) {
		return fmt.Errorf("log entry %d does not follow the snapshot or the entries before it", first)
	}
	stored.Entries = append(stored.Entries[:first-start], entries...)
	return nil
}
