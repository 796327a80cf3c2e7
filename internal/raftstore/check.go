package raftstore

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrDamaged marks a file whose content is not what was written. The replica must be
// replaced: what it acknowledged can't be told from its disk.
var ErrDamaged = errors.New("replica file is damaged")

const sumBytes = 8

// withSum returns v with its checksum behind it; bbolt checks only its own meta pages.
func withSum(v []byte) []byte {
	out := make([]byte, 0, len(v)+sumBytes)
	out = append(out, v...)
	return binary.BigEndian.AppendUint64(out, xxhash.Sum64(v))
}

// checked returns v without its checksum, or ErrDamaged where that does not fit.
func checked(v []byte) ([]byte, error) {
	n := len(v) - sumBytes
	if n < 0 || binary.BigEndian.Uint64(v[n:]) != xxhash.Sum64(v[:n]) {
		return nil, errors.Wrap(ErrDamaged, "checksum")
	}
	return v[:n], nil
}

// guarded turns a panic of bbolt, its answer to a damaged page, into an error.
func guarded(fn func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Wrapf(ErrDamaged, "%v", r)
		}
	}()
	return fn()
}
