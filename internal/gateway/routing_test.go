package gateway

import (
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/docdelta"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// encodedRecord returns a configuration as a coordinator sends it to an entry that holds
// base.
func encodedRecord(t *testing.T, version uint64, base, document []byte) *wire.RoutingRecord {
	t.Helper()
	data, err := docdelta.Encode(base, document)
	if err != nil {
		t.Fatal(err)
	}
	return &wire.RoutingRecord{Version: version, Digest: spec.Digest(document), Document: data}
}

func TestRouting_DeltaToHeldVersion(t *testing.T) {
	is := is.New(t)
	s := startEntry(t)
	is.NoErr(s.receiveRouting(encodedRecord(t, 2, []byte("doc"), []byte("doc two")), 1))
	is.Equal(s.attachReport().RoutingVersion, uint64(2))
	is.Equal(string(s.heldRouting.Document), "doc two")
}

// An older configuration is ignored, even if its base is not held.
func TestRouting_OlderVersion(t *testing.T) {
	is := is.New(t)
	s := startEntry(t)
	is.NoErr(s.receiveRouting(encodedRecord(t, 5, []byte("doc"), []byte("doc five")), 1))
	is.NoErr(s.receiveRouting(encodedRecord(t, 4, []byte("doc"), []byte("doc four")), 1))
	is.Equal(s.attachReport().RoutingVersion, uint64(5))
}

// A delta that can't be decoded makes the entry reattach and request the full document.
// The current configuration stays in force meanwhile.
func TestRouting_DeltaBaseMismatch(t *testing.T) {
	for name, c := range map[string]struct {
		rec  *wire.RoutingRecord
		base uint64
	}{
		"base version not held": {encodedRecord(t, 9, []byte("doc eight"), []byte("doc nine")), 8},
		"base document differs": {encodedRecord(t, 9, []byte("another document"), []byte("another document nine")), 1},
		"not a delta":           {&wire.RoutingRecord{Version: 9, Digest: spec.Digest([]byte("doc")), Document: []byte("doc")}, 0},
		"digest mismatch":       {&wire.RoutingRecord{Version: 9, Digest: spec.Digest([]byte("doc")), Document: encodedRecord(t, 9, nil, []byte("x")).Document}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startEntry(t)
			is.True(s.receiveRouting(c.rec, c.base) != nil)
			is.Equal(s.attachReport().RoutingVersion, uint64(0))
			is.Equal(s.table.Load().Config.Version, uint64(1))
			is.NoErr(s.receiveRouting(encodedRecord(t, 9, nil, []byte("doc nine")), 0))
			is.Equal(s.attachReport().RoutingVersion, uint64(9))
		})
	}
}
