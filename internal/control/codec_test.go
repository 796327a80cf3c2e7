package control

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

func TestCodec_RoundTrip(t *testing.T) {
	is := is.New(t)
	large := &wire.Command{AtUnixMs: 5, Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{
		File: bytes.Repeat([]byte("name = \"adapter\"\n"), 10_000), Version: 3}}}
	small := &wire.Command{AtUnixMs: 5, Op: &wire.Command_EndLease{EndLease: &wire.EndLease{Name: "l", Fence: 2}}}
	for _, cmd := range []*wire.Command{large, small} {
		data, err := EncodeCommand(cmd)
		is.NoErr(err)
		decoded, err := decodeCommand(data)
		is.NoErr(err)
		is.True(proto.Equal(decoded, cmd))
	}
	data, err := EncodeCommand(large)
	is.NoErr(err)
	is.True(len(data) < proto.Size(large)/10)
}

func TestCodec_CorruptAndNestedCommands(t *testing.T) {
	is := is.New(t)
	corrupt, err := proto.Marshal(&wire.Command{Op: &wire.Command_Gzip{Gzip: []byte("no gzip")}})
	is.NoErr(err)
	_, err = decodeCommand(corrupt)
	is.True(err != nil)
	inner := &wire.Command{Op: &wire.Command_Gzip{Gzip: bytes.Repeat([]byte{0}, compressThreshold)}}
	nested, err := EncodeCommand(inner)
	is.NoErr(err)
	_, err = decodeCommand(nested)
	is.True(err != nil)
}
