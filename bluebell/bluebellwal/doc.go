// Package bluebellwal keeps the durable state of a voter: a write-ahead log
// that starts with a snapshot.
//
// # Format
//
// The folder holds one file, <generation>.log. A file is a row of records,
// each a header of 12 bytes (length, CRC-32C of the length and the place, CRC-32C
// of the payload) and a payload, which is a type byte and a protobuf message.
// A new generation is written under another name, synced, renamed and the folder
// synced; only then the old one is removed.
//
// A record that the file ends within was never confirmed, and is dropped when
// the log is opened. A record that is complete but does not match its checksum
// may have been confirmed: [ErrCorrupt] is returned, and the voter must not
// take part under its old identity.
//
// # Usage
//
//	log, stored, err := bluebellwal.Open(bluebellwal.OS(), folder)
//	node, err := bluebellraft.New(cfg, stored, now)
//	...
//	err = log.Save(ready)
//
// Any error of Save is final: what the file then holds is not known, and the
// voter has to stop.
package bluebellwal
