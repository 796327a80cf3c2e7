package coordinator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/docdelta"
	"gentiankeel/internal/wire"
)

func version(n int) *wire.RoutingRecord {
	doc := fmt.Sprintf("version %d %s", n, strings.Repeat("of a long document ", 500))
	return &wire.RoutingRecord{Version: uint64(n), Digest: fmt.Sprint("digest ", n), Document: []byte(doc)}
}

func TestDocuments_HolderOfARecentVersionGetsTheDifference(t *testing.T) {
	is := is.New(t)
	var d documents
	rec, _, err := d.forHolder(nil)
	is.NoErr(err)
	is.Equal(rec, nil) // nothing is in force yet
	for n := 1; n <= 2+recentDocuments; n++ {
		d.put(version(n))
	}
	last := version(2 + recentDocuments)
	for held := 2; held <= recentDocuments+1; held++ {
		rec, base, err := d.forHolder(version(held))
		is.NoErr(err)
		is.Equal(base, uint64(held))
		doc, err := docdelta.Decode(version(held).Document, rec.Document)
		is.NoErr(err)
		is.Equal(string(doc), string(last.Document))
		is.Equal(rec.Digest, last.Digest)
	}
}

func TestDocuments_HolderOfTheVersionInForceGetsNoDocument(t *testing.T) {
	is := is.New(t)
	var d documents
	d.put(version(1))
	rec, base, err := d.forHolder(version(1))
	is.NoErr(err)
	is.Equal(rec.Version, uint64(1))
	is.Equal(len(rec.Document), 0)
	is.Equal(base, uint64(0))
}

// Too old a version, and one with the same number but another content, are no base.
func TestDocuments_WithoutACommonBaseTheWholeIsSent(t *testing.T) {
	is := is.New(t)
	var d documents
	for n := 1; n <= 2+recentDocuments; n++ {
		d.put(version(n))
	}
	other := version(3)
	other.Digest = "of another document"
	for _, held := range []*wire.RoutingRecord{nil, {}, version(1), other} {
		rec, base, err := d.forHolder(held)
		is.NoErr(err)
		is.Equal(base, uint64(0))
		doc, err := docdelta.Decode(nil, rec.Document)
		is.NoErr(err)
		is.Equal(string(doc), string(d.current.Document))
	}
}
