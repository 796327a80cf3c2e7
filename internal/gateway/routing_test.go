package gateway

import (
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/docdelta"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// record is a configuration as a coordinator sends it to a holder of base.
func record(t *testing.T, version uint64, base, document []byte) *wire.RoutingRecord {
	t.Helper()
	data, err := docdelta.Encode(base, document)
	if err != nil {
		t.Fatal(err)
	}
	return &wire.RoutingRecord{Version: version, Digest: spec.Digest(document), Document: data}
}

func TestRouting_DeltaToTheVersionHeldIsPutInForce(t *testing.T) {
	is := is.New(t)
	s := entry(t)
	is.NoErr(s.takeRouting(record(t, 2, []byte("doc"), []byte("doc two")), 1))
	is.Equal(s.hello().RoutingVersion, uint64(2))
	is.Equal(string(s.held.Document), "doc two")
}

// An older configuration changes nothing, whatever it is a delta to.
func TestRouting_OlderOneChangesNothing(t *testing.T) {
	is := is.New(t)
	s := entry(t)
	is.NoErr(s.takeRouting(record(t, 5, []byte("doc"), []byte("doc five")), 1))
	is.NoErr(s.takeRouting(record(t, 4, []byte("doc"), []byte("doc four")), 1))
	is.Equal(s.hello().RoutingVersion, uint64(5))
}

// Without its base a delta is of no use: the entry attaches again and asks for the whole
// document. What is in force stays in force meanwhile.
func TestRouting_DeltaThatDoesNotFitAsksForTheWhole(t *testing.T) {
	for name, c := range map[string]struct {
		rec  *wire.RoutingRecord
		base uint64
	}{
		"another version is its base":  {record(t, 9, []byte("doc eight"), []byte("doc nine")), 8},
		"another document is its base": {record(t, 9, []byte("another document"), []byte("another document nine")), 1},
		"it is no delta":               {&wire.RoutingRecord{Version: 9, Digest: spec.Digest([]byte("doc")), Document: []byte("doc")}, 0},
		"its digest is another's":      {&wire.RoutingRecord{Version: 9, Digest: spec.Digest([]byte("doc")), Document: record(t, 9, nil, []byte("x")).Document}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := entry(t)
			is.True(s.takeRouting(c.rec, c.base) != nil)
			is.Equal(s.hello().RoutingVersion, uint64(0))
			is.Equal(s.table.Load().Config.Version, uint64(1))
			is.NoErr(s.takeRouting(record(t, 9, nil, []byte("doc nine")), 0))
			is.Equal(s.hello().RoutingVersion, uint64(9))
		})
	}
}
