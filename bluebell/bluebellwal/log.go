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
	fs         FS
	dir        string
	generation uint64
	file       File
	size       uint64
	hardState  *pb.HardState
	failed     error
}

// Open reads the durable state in a folder and starts a new generation of it.
// An empty or missing folder gives an empty state.
func Open(fs FS, dir string) (*Log, bluebellraft.DurableState, error) {
	var stored bluebellraft.DurableState
	l := &Log{fs: fs, dir: dir, hardState: &pb.HardState{}}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, stored, fmt.Errorf("data folder: %w", err)
	}
	latest, err := l.latestGeneration()
	if err != nil {
		return nil, stored, err
	}
	if latest > 0 {
		stored, err = l.read(latest)
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

// Size returns the length of the log in bytes.
func (l *Log) Size() uint64 { return l.size }

// Save makes a Ready durable. After an error the log refuses all else.
func (l *Log) Save(r bluebellraft.Ready) error {
	if l.failed != nil {
		return l.failed
	}
	if r.HardState != nil {
		l.hardState = r.HardState
	}
	if r.Snapshot != nil {
		return l.fail(l.rotate(r.Snapshot, r.Entries))
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
		return l.fail(err)
	}
	if len(buf) == 0 {
		return nil
	}
	return l.fail(l.write(buf))
}

// Compact replaces the log by a snapshot and the entries that follow it.
func (l *Log) Compact(s *pb.RaftSnapshot, entries []*pb.LogEntry) error {
	if l.failed != nil {
		return l.failed
	}
	return l.fail(l.rotate(s, entries))
}

// Close gives the file back.
func (l *Log) Close() error { return l.file.Close() }

func (l *Log) fail(err error) error {
	if err != nil {
		l.failed = fmt.Errorf("log cannot be written: %w", err)
	}
	return l.failed
}

func (l *Log) write(buf []byte) error {
	if _, err := l.file.Write(buf); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.size += uint64(len(buf))
	return nil
}

// rotate writes a new generation and then removes the old one.
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
	next := l.generation + 1
	temp := filepath.Join(l.dir, strconv.FormatUint(next, 10)+tempSuffix)
	file, err := l.fs.Create(temp)
	if err != nil {
		return err
	}
	if l.file.Close != nil {
		if err := l.file.Close(); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	l.file, l.size = file, 0
	if err := l.write(buf); err != nil {
		return err
	}
	if err := l.fs.Rename(temp, l.path(next)); err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return err
	}
	old := l.generation
	l.generation = next
	if old == 0 {
		return nil
	}
	return l.fs.Remove(l.path(old))
}

func (l *Log) path(generation uint64) string {
	return filepath.Join(l.dir, strconv.FormatUint(generation, 10)+logSuffix)
}

// latestGeneration finds the newest complete file and removes the remains of
// interrupted rotations.
func (l *Log) latestGeneration() (uint64, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return 0, fmt.Errorf("data folder: %w", err)
	}
	var found []uint64
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
				return 0, fmt.Errorf("data folder: %w", err)
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
				return 0, fmt.Errorf("data folder: %w", err)
			}
		}
	}
	return latest, nil
}

func (l *Log) read(generation uint64) (bluebellraft.DurableState, error) {
	var stored bluebellraft.DurableState
	data, err := l.fs.ReadFile(l.path(generation))
	if err != nil {
		return stored, fmt.Errorf("log: %w", err)
	}
	_, err = readRecords(data, func(t recordType, payload []byte) error {
		return restore(&stored, t, payload)
	})
	if err == nil && stored.HardState == nil {
		// Each generation is complete before it gets its name.
		err = fmt.Errorf("%w: generation %d has no start", ErrCorrupt, generation)
	}
	return stored, err
}

// restore takes one record into the state.
func restore(stored *bluebellraft.DurableState, t recordType, payload []byte) error {
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

// restoreEntries appends entries, in place of those from the first index on.
func restoreEntries(stored *bluebellraft.DurableState, entries []*pb.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	start := stored.Snapshot.GetIndex() + 1
	first := entries[0].Index
	if first < start || first > start+uint64(len(stored.Entries)) {
		return fmt.Errorf("entry %d leaves a gap", first)
	}
	stored.Entries = append(stored.Entries[:first-start], entries...)
	return nil
}
