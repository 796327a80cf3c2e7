package coordinator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/docdelta"
	"gentiankeel/internal/wire"
)

func routingRecord(n int) *wire.RoutingRecord {
	doc := fmt.Sprintf("version %d %s", n, strings.Repeat("of a long document ", 500))
	return &wire.RoutingRecord{Version: uint64(n), Digest: fmt.Sprint("digest ", n), Document: []byte(doc)}
}

func TestRoutingHistory_RecentVersionHeld(t *testing.T) {
	is := is.New(t)
	var history routingHistory
	rec, _, err := history.encodeFor(nil)
	is.NoErr(err)
	is.Equal(rec, nil) // no configuration is in force
	for n := 1; n <= 2+maxRecentDocuments; n++ {
		history.add(routingRecord(n))
	}
	last := routingRecord(2 + maxRecentDocuments)
	for held := 2; held <= maxRecentDocuments+1; held++ {
		rec, base, err := history.encodeFor(routingRecord(held))
		is.NoErr(err)
		is.Equal(base, uint64(held))
		doc, err := docdelta.Decode(routingRecord(held).Document, rec.Document)
		is.NoErr(err)
		is.Equal(string(doc), string(last.Document))
		is.Equal(rec.Digest, last.Digest)
	}
}

func TestRoutingHistory_CurrentVersionHeld(t *testing.T) {
	is := is.New(t)
	var history routingHistory
	history.add(routingRecord(1))
	rec, base, err := history.encodeFor(routingRecord(1))
	is.NoErr(err)
	is.Equal(rec.Version, uint64(1))
	is.Equal(len(rec.Document), 0)
	is.Equal(base, uint64(0))
}

// A delta needs a base that the coordinator still has: a version that is too old, or one of
// the same number with another digest, gets the full document.
func TestRoutingHistory_NoCommonBase(t *testing.T) {
	is := is.New(t)
	var history routingHistory
	for n := 1; n <= 2+maxRecentDocuments; n++ {
		history.add(routingRecord(n))
	}
	other := routingRecord(3)
	other.Digest = "of another document"
	for _, held := range []*wire.RoutingRecord{nil, {}, routingRecord(1), other} {
		rec, base, err := history.encodeFor(held)
		is.NoErr(err)
		is.Equal(base, uint64(0))
		doc, err := docdelta.Decode(nil, rec.Document)
		is.NoErr(err)
		is.Equal(string(doc), string(history.current.Document))
	}
}
