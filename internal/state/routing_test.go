package state

import (
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

func putRoutingCommand(version uint64, digest string) *wire.Command {
	return &wire.Command{Op: &wire.Command_PutRouting{PutRouting: &wire.PutRouting{Routing: &wire.RoutingRecord{
		Version: version, Digest: digest, Document: []byte("document " + digest)}}}}
}

func TestPutRouting_HighestVersionIsInForce(t *testing.T) {
	is := is.New(t)
	m := New(Options{})
	is.Equal(m.Routing(), nil)
	steps := []struct {
		version uint64
		digest  string
		want    wire.ApplyOutcome
		inForce uint64
	}{
		{7, "a", wire.ApplyOutcome_APPLY_ACCEPTED, 7},
		{7, "a", wire.ApplyOutcome_APPLY_SAME, 7},
		{7, "b", wire.ApplyOutcome_APPLY_REFUSED_CONFLICT, 7},
		{3, "c", wire.ApplyOutcome_APPLY_REFUSED_OLDER, 7},
		{19, "d", wire.ApplyOutcome_APPLY_ACCEPTED, 19}, // versions need not be consecutive
		{7, "a", wire.ApplyOutcome_APPLY_REFUSED_OLDER, 19},
	}
	for i, s := range steps {
		res := m.Apply(uint64(i+1), putRoutingCommand(s.version, s.digest))
		is.Equal(res.Code, wire.ResultCode_RESULT_OK)
		is.Equal(res.RoutingOutcome, s.want)
		is.Equal(m.Routing().Version, s.inForce)
	}
	is.Equal(string(m.Routing().Document), "document d")
	is.Equal(len(m.Explain("routing")), 2) // one event for each version put in force
}

func TestPutRouting_NoDocument(t *testing.T) {
	is := is.New(t)
	m := New(Options{})
	cmd := putRoutingCommand(1, "a")
	cmd.GetPutRouting().Routing.Document = nil
	is.Equal(m.Apply(1, cmd).Code, wire.ResultCode_RESULT_INVALID)
	is.Equal(m.Routing(), nil)
}

func TestPutRouting_SnapshotRestore(t *testing.T) {
	is := is.New(t)
	m := New(Options{})
	m.Apply(1, putRoutingCommand(7, "a"))
	data, err := m.Snapshot()
	is.NoErr(err)
	next := New(Options{})
	next.Apply(1, putRoutingCommand(9, "z")) // replaced by the restore
	is.NoErr(next.Restore(1, data))
	is.Equal(next.Routing().Version, uint64(7))
	is.Equal(string(next.Routing().Document), "document a")
}
