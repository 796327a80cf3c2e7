package docdelta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testCatalogue returns a document with the number of models of a large deployment and
// mostly incompressible content.
func testCatalogue(version, timeoutMs int) []byte {
	rnd := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[{"name":"r","timeout_ms":%d}],"models":[`, version, timeoutMs)
	for range 778 {
		fmt.Fprintf(&b, `{"name":"m%08x","weights_mb":%d,"load_time_s":7.8,"adapters":%d},`, rnd.Uint32(), rnd.IntN(90000), rnd.IntN(40))
	}
	b.WriteString(`{}]}`)
	return b.Bytes()
}

// Guards against deltas that grow with the document: one changed timeout must take less
// than 500 bytes.
func TestEncode_SmallChangeOfLargeDocument(t *testing.T) {
	is := is.New(t)
	base, doc := testCatalogue(41, 5000), testCatalogue(42, 12000)
	delta, err := Encode(base, doc)
	is.NoErr(err)
	is.True(len(doc) > 50_000)
	is.True(len(delta) < 500)
	got, err := Decode(base, delta)
	is.NoErr(err)
	is.True(bytes.Equal(got, doc))
}

func TestEncode_EmptyBase(t *testing.T) {
	is := is.New(t)
	doc := testCatalogue(1, 5000)
	delta, err := Encode(nil, doc)
	is.NoErr(err)
	is.True(len(delta) < len(doc)/2)
	got, err := Decode(nil, delta)
	is.NoErr(err)
	is.True(bytes.Equal(got, doc))
}

func TestDecode_InvalidDataAndMissingBase(t *testing.T) {
	is := is.New(t)
	_, err := Decode(nil, []byte("{}"))
	is.True(err != nil)
	delta, err := Encode(testCatalogue(1, 1), testCatalogue(2, 1))
	is.NoErr(err)
	_, err = Decode(nil, delta)
	is.True(err != nil) // the base is missing
}

func TestRandomDocuments_RoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "base")
		doc := append(bytes.Clone(base[:rapid.IntRange(0, len(base)).Draw(t, "kept")]), rapid.SliceOf(rapid.Byte()).Draw(t, "added")...)
		delta, err := Encode(base, doc)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(base, delta)
		if err != nil || !bytes.Equal(got, doc) {
			t.Fatalf("error %v, decoded %q, want %q", err, got, doc)
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	base, doc := testCatalogue(41, 5000), testCatalogue(42, 12000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Encode(base, doc); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	base, doc := testCatalogue(41, 5000), testCatalogue(42, 12000)
	delta, err := Encode(base, doc)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(base, delta); err != nil {
			b.Fatal(err)
		}
	}
}
