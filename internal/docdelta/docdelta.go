// Package docdelta sends a document to receivers that hold an older one of the same kind:
// zstd with the older document as its dictionary, so that what is sent grows with the
// change and not with the document.
package docdelta

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// maxDocument bounds a decoded document in bytes, so that no message makes a receiver
	// use more memory: the four MiB of a call (httpserver.DefaultMaxBodyBytes), with room.
	maxDocument = 16 << 20
	// window is how far back a match may lie, in bytes: beyond the documents of today's
	// largest deployments (0.1 MB) it costs memory for nothing.
	window = 1 << 20
	// minBase is the shortest dictionary that the codec takes, in bytes.
	minBase = 8
	// baseID names the dictionary inside a frame. Its value has no meaning: which base is
	// meant is said beside the data.
	baseID = 1
)

// Encode returns doc as a delta to base. An empty base gives a delta that stands alone.
func Encode(base, doc []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false),
	}
	if len(base) >= minBase {
		opts = append(opts, zstd.WithEncoderDictRaw(baseID, base))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a document")
	}
	return enc.EncodeAll(doc, nil), errors.Wrap(enc.Close(), "encoding a document")
}

// Decode returns the document of a delta to base.
func Decode(base, delta []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDocument), zstd.WithDecoderLowmem(true),
	}
	if len(base) >= minBase {
		opts = append(opts, zstd.WithDecoderDictRaw(baseID, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "decoding a document")
	}
	defer dec.Close()
	doc, err := dec.DecodeAll(delta, nil)
	return doc, errors.Wrap(err, "decoding a document")
}
