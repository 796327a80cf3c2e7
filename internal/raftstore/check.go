package raftstore

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrCorrupt is returned if the file's content is not what was written. The replica must be
// replaced, because its disk no longer shows what it has acknowledged.
var ErrCorrupt = errors.New("replica file is corrupt")

const checksumBytes = 8

// appendChecksum returns a copy of v followed by its checksum. bbolt itself has checksums
// for its meta pages only.
func appendChecksum(v []byte) []byte {
	out := make([]byte, 0, len(v)+checksumBytes)
	out = append(out, v...)
	return binary.BigEndian.AppendUint64(out, xxhash.Sum64(v))
}

// verifyChecksum returns v without its checksum, or ErrCorrupt if the checksum is wrong.
func verifyChecksum(v []byte) ([]byte, error) {
	n := len(v) - checksumBytes
	if n < 0 || binary.BigEndian.Uint64(v[n:]) != xxhash.Sum64(v[:n]) {
		return nil, errors.Wrap(ErrCorrupt, "checksum")
	}
	return v[:n], nil
}

// recoverCorruption calls fn and converts a panic into ErrCorrupt: bbolt panics on corrupt
// pages.
func recoverCorruption(fn func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Wrapf(ErrCorrupt, "%v", r)
		}
	}()
	return fn()
}
