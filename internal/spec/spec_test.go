package spec

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"gentiankeel/internal/spec/spectest"
	"gentiankeel/internal/wire"
)

// TestMain fixes rapid's seed, so that all runs draw the same cases. A seed given on the
// command line takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true") // a failure prints its seed
	os.Exit(m.Run())
}

const smallFile = `name = "kestrel-fold"
version = 3
[[models]]
name = "fortune"
version = "1"
replicas = 2
memory_mib = 4096
zones = ["tay-b", "tay-a"]
[[models.warm]]
from = "04:30"
until = "07:00"
replicas = 1
[[adapters]]
name = "house"
model = "fortune"
version = "1"
memory_mib = 64
[[services]]
name = "print-orders"
`

func TestParse_SmallFile(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(smallFile))
	is.NoErr(err)
	is.Equal(s.Name, "kestrel-fold")
	is.Equal(s.Version, uint64(3))
	is.Equal(s.Digest, Digest([]byte(smallFile)))
	is.Equal(s.Models[0].Zones, []string{"tay-a", "tay-b"})
	is.Equal(s.Models[0].Warm[0].FromMinute, uint32(270))
	is.Equal(s.Services[0].Idempotent, false) // services are not idempotent by default
	is.Equal(s.Limits.LedgerWindowS, uint32(86400))
}

func TestParse_Examples(t *testing.T) {
	for name, adapters := range map[string]int{"kestrel-fold": 60, "topper-trial": 55} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".toml"))
			is.NoErr(err)
			s, err := Parse(data)
			is.NoErr(err)
			is.Equal(len(s.Models), 50)
			is.Equal(len(s.Adapters), adapters)
		})
	}
}

// Each error must contain its line, its field and what is allowed.
func TestParse_InvalidFiles(t *testing.T) {
	replace := func(from, to string) string { return strings.Replace(smallFile, from, to, 1) }
	cases := []struct{ name, file, line, field, problem string }{
		{"unknown field", replace("zones =", "zonnes ="), "line 8", "models.zonnes", "allowed here: name, version, replicas"},
		{"unknown table", smallFile + "[extra]\na=1\n", "line 20", "extra", "allowed here: name, version, limits"},
		{"wrong type", replace("replicas = 2", `replicas = "2"`), "line 6", "models.replicas", "a whole number"},
		{"syntax", replace("version = 3", "version = = 3"), "line 2", "", ""},
		{"negative", replace("replicas = 2", "replicas = -1"), "line 6", "models.replicas", "0 to 10000"},
		{"missing", replace("replicas = 2\n", ""), "line 3", "models.replicas", "is missing"},
		{"zero memory", replace("memory_mib = 4096", "memory_mib = 0"), "line 7", "models.memory_mib", "1 to"},
		{"min above replicas", replace("replicas = 2", "replicas = 2\nmin_replicas = 3"), "line 7", "models.min_replicas", "above replicas"},
		{"warm above replicas", replace("replicas = 1", "replicas = 3"), "line 12", "models.warm.replicas", "above the model's replicas"},
		{"clock", replace("04:30", "4:30"), "line 10", "models.warm.from", "HH:MM"},
		{"empty window", replace("07:00", "04:30"), "line 11", "models.warm.until", "empty"},
		{"model of adapter", replace(`model = "fortune"`, `model = "fortunes"`), "line 15", "adapters.model", "no model"},
		{"duplicate model", smallFile + "[[models]]\nname=\"fortune\"\nversion=\"1\"\nreplicas=1\nmemory_mib=1\n", "line 21", "models.name", "twice"},
		{"duplicate service", smallFile + "[[services]]\nname=\"print-orders\"\n", "line 21", "services.name", "twice"},
		{"colon in name", replace(`"house"`, `"ho:use"`), "line 14", "adapters.name", "no name"},
		{"duration", smallFile + "[limits]\nmax_deadline = \"ten\"\n", "line 21", "limits.max_deadline", `"30s"`},
		{"window below deadline", smallFile + "[limits]\nledger_window = \"5m\"\n", "line 21", "limits.ledger_window", "forgotten"},
		{"digest", smallFile + "[quarantine]\nclear = [\"ABC\"]\n", "line 21", "quarantine.clear", "64 lower-case"},
		{"empty", "", "", "name", "no name"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(c.file))
			is.True(err != nil)
			var e *Error
			is.True(errors.As(err, &e))
			t.Log(err)
			is.True(strings.Contains(err.Error(), c.line))
			is.True(strings.Contains(err.Error(), c.field))
			is.True(strings.Contains(err.Error(), c.problem))
		})
	}
}

func TestParse_ErrorInWarmWindowOfSecondModel(t *testing.T) {
	is := is.New(t)
	second := strings.NewReplacer("fortune", "verse", "replicas = 1", "replicas = 9").Replace(smallFile[strings.Index(smallFile, "[[models]]"):strings.Index(smallFile, "[[adapters]]")])
	_, err := Parse([]byte(smallFile + second))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "line 29"))
}

func drawSpec(t *rapid.T, label string, index uint64) *wire.Spec {
	s := &wire.Spec{Name: "n", Version: index, Digest: label, Index: index}
	for i := range 6 {
		if !rapid.Bool().Draw(t, label+"model") {
			continue
		}
		m := &wire.Model{Name: fmt.Sprint("m", i), Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "v"), Replicas: 1}
		s.Models = append(s.Models, m)
		for j := range 3 {
			if rapid.Bool().Draw(t, label+"adapter") {
				mem := uint64(rapid.IntRange(1, 2).Draw(t, "mem"))
				s.Adapters = append(s.Adapters, &wire.Adapter{Name: fmt.Sprint("a", j), Model: m.Name, MemoryMib: mem})
			}
		}
	}
	for i := range 3 {
		if rapid.Bool().Draw(t, label+"service") {
			s.Services = append(s.Services, &wire.Service{Name: fmt.Sprint("s", i), Idempotent: rapid.Bool().Draw(t, "idem")})
		}
	}
	s.Limits = &wire.Limits{QueuePerModel: uint32(rapid.IntRange(1, 2).Draw(t, "queue"))}
	for _, d := range []string{"c", "d"} {
		if rapid.Bool().Draw(t, label+"cleared") {
			s.ClearedDigests = append(s.ClearedDigests, d)
		}
	}
	return s
}

func TestPatchRandom_DiffThenPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := drawSpec(t, "old", uint64(rapid.IntRange(0, 5).Draw(t, "index")))
		next := drawSpec(t, "next", old.Index+1)
		before := proto.Clone(old)
		d := Diff(old, next)
		got, err := Patch(old, d)
		if err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(got, next) {
			t.Fatalf("got %v want %v", got, next)
		}
		if !proto.Equal(before, old) {
			t.Fatal("Patch changed the old spec")
		}
		whole, err := Patch(nil, Diff(nil, next))
		if err != nil || !proto.Equal(whole, next) {
			t.Fatalf("delta with the whole spec: %v, %v", err, whole)
		}
	})
}

func TestPatch_WrongBaseOrOlder(t *testing.T) {
	is := is.New(t)
	_, err := Patch(&wire.Spec{Index: 4}, &wire.SpecDelta{BaseIndex: 3, Index: 5})
	is.True(errors.Is(err, ErrBaseMismatch))
	_, err = Patch(nil, &wire.SpecDelta{BaseIndex: 3, Index: 5})
	is.True(errors.Is(err, ErrBaseMismatch))
	_, err = Patch(&wire.Spec{Index: 4}, &wire.SpecDelta{Index: 3})
	is.True(errors.Is(err, ErrStaleDelta)) // even a whole spec must not revert a node
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallFile))
	f.Add([]byte("name = 1\nversion = \"x\"\n[limits]\nqueue_per_model = 1e9\n"))
	f.Add([]byte("models = [{name = \"a\", warm = [{from = \"25:00\"}]}]\nlimits.max_deadline = \"1ns\"\n"))
	f.Add([]byte("[[models]]\n[[models.warm]]\n[[models.warm.deep]]\nx = 1979-05-27\n"))
	f.Add([]byte("[quarantine]\nclear = [\"\\u0000\"]\n\"\" = 1\n"))
	f.Add([]byte("[[adapters]]\nmodel=\"\xff\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			var list ErrorList
			if !errors.As(err, &list) || len(list) == 0 || len(list) > maxErrors {
				t.Fatalf("not an ErrorList, or its length is out of bounds: %v", err)
			}
			return
		}
		again, err := Patch(nil, Diff(nil, s))
		if err != nil || !proto.Equal(again, s) {
			t.Fatalf("patching with the delta of a parsed spec does not restore it: %v", err)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	data := spectest.LargeFile(750, 39_000, 1)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := Parse(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDiffOneModel(b *testing.B) {
	old, _ := Parse(spectest.LargeFile(750, 39_000, 1))
	next := proto.CloneOf(old)
	old.Index, next.Index = 1, 2
	next.Models[7].Replicas++
	b.ResetTimer()
	for b.Loop() {
		d := Diff(old, next)
		b.ReportMetric(float64(proto.Size(d)), "delta-bytes")
	}
}
