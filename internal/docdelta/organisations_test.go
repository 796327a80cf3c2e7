package docdelta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// testOrganisation is an organisation in a document.
type testOrganisation struct {
	name     string
	keys     []string
	priority int
	rate     int
}

func randomText(rnd *rand.Rand, n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[rnd.IntN(36)]
	}
	return string(b)
}

func testOrganisations(count, keys int) []testOrganisation {
	rnd := rand.New(rand.NewPCG(3, 4))
	list := make([]testOrganisation, count)
	for i := range list {
		list[i] = testOrganisation{name: randomText(rnd, 7), priority: rnd.IntN(3), rate: 2700 + rnd.IntN(200_000)}
		for range keys {
			list[i].keys = append(list[i].keys, randomText(rnd, 20))
		}
	}
	return list
}

// organisationsDocument returns the document of testCatalogue with organisations before its routes.
func organisationsDocument(version int, list []testOrganisation) []byte {
	rest := bytes.TrimPrefix(testCatalogue(version, 5000), fmt.Appendf(nil, `{"version":%d,`, version))
	doc := fmt.Appendf(nil, `{"version":%d,"tenants":[`, version)
	for i, o := range list {
		if i > 0 {
			doc = append(doc, ',')
		}
		doc = fmt.Appendf(doc, `{"name":"%s","keys":[`, o.name)
		for n, key := range o.keys {
			if n > 0 {
				doc = append(doc, ',')
			}
			doc = fmt.Appendf(doc, `"%s"`, key)
		}
		doc = fmt.Appendf(doc, `],"priority":%d,"unit":"tokens","plain_tokens":200,"rate_per_s":%d,"burst":%[2]d}`, o.priority, o.rate)
	}
	return append(append(doc, "],"...), rest...)
}

// organisationChanges are the changes that an operator makes, by their name.
var organisationChanges = map[string]func(list []testOrganisation) []testOrganisation{
	"key withdrawn": func(list []testOrganisation) []testOrganisation {
		list[len(list)/2].keys = list[len(list)/2].keys[1:]
		return list
	},
	"key replaced": func(list []testOrganisation) []testOrganisation {
		list[len(list)/2].keys[0] = randomText(rand.New(rand.NewPCG(5, 6)), 20)
		return list
	},
	"rate and priority changed": func(list []testOrganisation) []testOrganisation {
		list[len(list)/2].rate, list[len(list)/2].priority = 123456, 2
		return list
	},
	"organisation removed": func(list []testOrganisation) []testOrganisation {
		return append(list[:len(list)/2], list[len(list)/2+1:]...)
	},
	"organisation added": func(list []testOrganisation) []testOrganisation {
		return append(list, testOrganisation{name: "added00", keys: []string{randomText(rand.New(rand.NewPCG(5, 6)), 20)}, rate: 2700})
	},
	"all keys replaced": func(list []testOrganisation) []testOrganisation {
		rnd := rand.New(rand.NewPCG(5, 6))
		for i := range list {
			for n := range list[i].keys {
				list[i].keys[n] = randomText(rnd, 20)
			}
		}
		return list
	},
}

// Guards against a change of one organisation that is sent as a third of the document to every entry, since the
// codec did not reach back to the beginning of a long base.
func TestEncode_OrganisationsChanged(t *testing.T) {
	for _, size := range []struct{ organisations, keys int }{{16, 1}, {5000, 1}, {5000, 4}, {5000, 20}} {
		for name, change := range organisationChanges {
			t.Run(fmt.Sprintf("%s, %d with %d keys", name, size.organisations, size.keys), func(t *testing.T) {
				is := is.New(t)
				base := organisationsDocument(41, testOrganisations(size.organisations, size.keys))
				doc := organisationsDocument(42, change(testOrganisations(size.organisations, size.keys)))
				delta, err := Encode(base, doc)
				is.NoErr(err)
				got, err := Decode(base, delta)
				is.NoErr(err)
				is.True(bytes.Equal(got, doc))
				t.Logf("document %d bytes, delta %d bytes", len(doc), len(delta))
				if name != "all keys replaced" {
					is.True(len(delta) < 500)
				}
			})
		}
	}
}
