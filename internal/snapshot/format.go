package snapshot

import (
	"encoding/binary"
	"fmt"

	"woodproxy/internal/rowcodec"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Layout of the state file: magic number, format version (one byte), checksum of the body (64-bit xxHash, little
// endian), body (a Snapshot in msgpack).
const (
	magic          = "WOODPRX"
	formatVersion  = 1
	versionOffset  = len(magic)
	checksumOffset = versionOffset + 1
	checksumLength = 8
	bodyOffset     = checksumOffset + checksumLength
)

// maxFileLength limits the memory that a damaged or foreign file can cost: 16 MiB is many times the largest endpoint
// list.
const maxFileLength = 16 << 20

// encode returns the state file for a snapshot.
func encode(snapshot *Snapshot) ([]byte, error) {
	body, err := msgpack.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	file := make([]byte, 0, bodyOffset+len(body))
	file = append(file, magic...)
	file = append(file, formatVersion)
	file = binary.LittleEndian.AppendUint64(file, xxhash.Sum64(body))
	return append(file, body...), nil
}

// decode returns the snapshot in a state file. Every error is a [CorruptError].
func decode(file []byte) (*Snapshot, error) {
	if err := checkHeader(file); err != nil {
		return nil, err
	}
	var snapshot Snapshot
	if err := rowcodec.Decode(file[bodyOffset:], &snapshot); err != nil {
		return nil, newCorruptError(err)
	}
	return &snapshot, nil
}

// checkHeader checks length, magic number, version and checksum. The version is looked at before the checksum: a later
// version may compute that in another way.
func checkHeader(file []byte) error {
	switch {
	case len(file) < bodyOffset:
		return &CorruptError{Reason: fmt.Sprintf("%d bytes", len(file))}
	case len(file) > maxFileLength:
		return &CorruptError{Reason: fmt.Sprintf("over %d bytes", maxFileLength)}
	case string(file[:versionOffset]) != magic:
		return &CorruptError{Reason: "it is no state of a proxy"}
	case file[versionOffset] != formatVersion:
		return &CorruptError{Reason: fmt.Sprintf("version %d, and this program reads %d", file[versionOffset], formatVersion)}
	case binary.LittleEndian.Uint64(file[checksumOffset:bodyOffset]) != xxhash.Sum64(file[bodyOffset:]):
		return &CorruptError{Reason: "its checksum is another"}
	}
	return nil
}
