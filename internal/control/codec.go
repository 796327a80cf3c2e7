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
	// compressAbove is the size in bytes from which a command is compressed for the log.
	// Applied files repeat themselves; most other commands stay below.
	compressAbove = 4 << 10
	// maxCommandBytes bounds a command after decompression.
	maxCommandBytes = 64 << 20
)

// EncodeCommand returns the log's form of a command.
func EncodeCommand(cmd *wire.Command) ([]byte, error) {
	data, err := proto.Marshal(cmd)
	if err != nil || len(data) < compressAbove {
		return data, err
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return proto.Marshal(&wire.Command{Op: &wire.Command_Gzip{Gzip: packed.Bytes()}})
}

// decodeCommand is the inverse of EncodeCommand. A command that holds a compressed one
// inside a compressed one is refused.
func decodeCommand(data []byte) (*wire.Command, error) {
	cmd := &wire.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return nil, errors.Wrap(err, "command")
	}
	packed, ok := cmd.Op.(*wire.Command_Gzip)
	if !ok {
		return cmd, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed.Gzip))
	if err != nil {
		return nil, errors.Wrap(err, "compressed command")
	}
	data, err = io.ReadAll(io.LimitReader(r, maxCommandBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed command")
	}
	if len(data) > maxCommandBytes {
		return nil, errors.Errorf("compressed command of more than %d bytes", maxCommandBytes)
	}
	inner := &wire.Command{}
	if err := proto.Unmarshal(data, inner); err != nil {
		return nil, errors.Wrap(err, "compressed command")
	}
	if inner.GetGzip() != nil {
		return nil, errors.New("compressed command in a compressed command")
	}
	return inner, nil
}
