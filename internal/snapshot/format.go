package snapshot

import (
	"encoding/binary"
	"fmt"

	"woodproxy/internal/rowcodec"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Layout of the state file: magic number, format version (one byte), checksum of the body (64-bit xxHash, little endian),
// body (a Snapshot in msgpack).
const (
	magic          = "WOODPRX"
	formatVersion  = 1
	versionOffset  = len(magic)
	checksumOffset = versionOffset + 1
	checksumLength = 8
	bodyOffset     = checksumOffset + checksumLength
)

// maxFileLength is the maximum length of a state file in bytes. It limits the memory that reading a corrupt or foreign file
// takes; 16 MiB is many times the size of the largest endpoint list.
const maxFileLength = 16 << 20

// encode returns the content of a state file with the given snapshot.
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

// decode returns the snapshot in the content of a state file. Every error is a [CorruptError].
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

// checkHeader returns a [CorruptError] unless the length, magic number, version and checksum are valid. It checks the
// version before the checksum, since a later version may use another checksum.
func checkHeader(file []byte) error {
	switch {
	case len(file) < bodyOffset:
		return &CorruptError{Reason: fmt.Sprintf("%d bytes, shorter than the header", len(file))}
	case len(file) > maxFileLength:
		return &CorruptError{Reason: fmt.Sprintf("longer than %d bytes", maxFileLength)}
	case string(file[:versionOffset]) != magic:
		return &CorruptError{Reason: "not a state file of a proxy"}
	case file[versionOffset] != formatVersion:
		return &CorruptError{Reason: fmt.Sprintf("format version %d, want %d", file[versionOffset], formatVersion)}
	case binary.LittleEndian.Uint64(file[checksumOffset:bodyOffset]) != xxhash.Sum64(file[bodyOffset:]):
		return &CorruptError{Reason: "checksum mismatch"}
	}
	return nil
}
