// Package bluebellwal stores the durable state of a voter in a write-ahead log that
// starts with a snapshot.
//
// # Format
//
// The folder holds one file, <generation>.log. A file is a sequence of records. Each
// record has a header of 12 bytes (payload length, CRC-32C of the length and the record's
// offset in the file, CRC-32C of the payload) and a payload, which is a type byte and a
// protobuf message. A new generation is written to a temporary file, which is synced and
// renamed, and the folder is synced. Only then is the old generation removed.
//
// If the file ends within a record, that record was never acknowledged, and opening the
// log discards it. A complete record that does not match its checksum may have been
// acknowledged: [Open] returns [ErrCorrupt], and the voter must not take part in the
// consensus under its old identity.
//
// # Usage
//
//	log, stored, err := bluebellwal.Open(bluebellwal.OS(), folder)
//	node, err := bluebellraft.New(cfg, stored, now)
//	...
//	err = log.Save(ready)
//
// An error of [Log.Save] is final: the content of the file is then unknown, and the voter
// must stop.
package bluebellwal
