package control

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

const (
	// compressThreshold is the encoded size in bytes from which a command is compressed.
	// Applied files are repetitive and compress well; most other commands are smaller.
	compressThreshold = 4 << 10
	// maxCommandBytes limits the size of a decompressed command.
	maxCommandBytes = 64 << 20
)

// EncodeCommand returns a command as it is stored in the replicated log: marshalled, and
// compressed with gzip from 4 KiB on.
func EncodeCommand(cmd *wire.Command) ([]byte, error) {
	data, err := proto.Marshal(cmd)
	if err != nil || len(data) < compressThreshold {
		return data, err
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return proto.Marshal(&wire.Command{Op: &wire.Command_Gzip{Gzip: compressed.Bytes()}})
}

// decodeCommand is the inverse of EncodeCommand. It returns an error for nested
// compression and for a command larger than maxCommandBytes.
func decodeCommand(data []byte) (*wire.Command, error) {
	cmd := &wire.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return nil, errors.Wrap(err, "command")
	}
	compressed, ok := cmd.Op.(*wire.Command_Gzip)
	if !ok {
		return cmd, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(compressed.Gzip))
	if err != nil {
		return nil, errors.Wrap(err, "compressed command")
	}
	data, err = io.ReadAll(io.LimitReader(r, maxCommandBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed command")
	}
	if len(data) > maxCommandBytes {
		return nil, errors.Errorf("compressed command exceeds %d bytes when decompressed", maxCommandBytes)
	}
	inner := &wire.Command{}
	if err := proto.Unmarshal(data, inner); err != nil {
		return nil, errors.Wrap(err, "compressed command")
	}
	if inner.GetGzip() != nil {
		return nil, errors.New("compressed command contains another compressed command")
	}
	return inner, nil
}
