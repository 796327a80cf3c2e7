// Package docdelta encodes a document as a delta to an older version that the receiver
// holds. It uses zstd with the older version as the dictionary, so that the size of a delta
// depends on the change and not on the document.
package docdelta

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// maxDocumentBytes limits a decoded document, and with it the memory that a message can
	// make a receiver use. It is larger than the body of any call, which
	// httpserver.DefaultMaxBodyBytes limits to 4 MiB.
	maxDocumentBytes = 16 << 20
	// minWindowBytes and maxWindowBytes bound the maximum distance of a match. Documents of most
	// deployments have 0.1 MB, for which a larger window would only use more memory. A base beyond the
	// window is not used: of 5,000 organisations with four keys each, 1.1 MB, a change took 391 kB with
	// a window of 1 MiB. The largest call's body and its base have 8 MiB.
	minWindowBytes = 1 << 20
	maxWindowBytes = 8 << 20
	// minDictionaryBytes is the shortest dictionary that the codec accepts. A shorter base
	// is not used.
	minDictionaryBytes = 8
	// dictionaryID identifies the dictionary inside a frame. Its value has no meaning: the
	// base document is identified outside the frame.
	dictionaryID = 1
)

// Encode returns doc as a delta to base. With an empty base the delta can be decoded on its
// own.
func Encode(base, doc []byte) ([]byte, error) {
	window, level := windowSize(len(base)+len(doc)), zstd.SpeedDefault
	if window > minWindowBytes {
		// The tables of the default level forget the first parts of a long base: from 2 MB on a change took 190 kB.
		level = zstd.SpeedBetterCompression
	}
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(level), zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(false),
	}
	if len(base) >= minDictionaryBytes {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a document")
	}
	return enc.EncodeAll(doc, nil), errors.Wrap(enc.Close(), "encoding a document")
}

// windowSize returns the least power of two that covers size bytes, within the bounds of windows.
func windowSize(size int) int {
	n := minWindowBytes
	for n < size && n < maxWindowBytes {
		n *= 2
	}
	return n
}

// Decode returns the document that Encode encoded with the same base. A missing base, data
// that is no delta and a document above maxDocumentBytes are errors. Another base than
// Encode's may go unnoticed, as deltas carry no checksum: the receiver must compare the
// document's digest.
func Decode(base, delta []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDocumentBytes), zstd.WithDecoderLowmem(true),
	}
	if len(base) >= minDictionaryBytes {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "decoding a document")
	}
	defer dec.Close()
	doc, err := dec.DecodeAll(delta, nil)
	return doc, errors.Wrap(err, "decoding a document")
}
