package spec

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/wire"
)

// Bounds of what a file may ask for.
const (
	maxModels       = 10_000
	maxAdapters     = 200_000
	maxServices     = 1_000
	maxReplicas     = 10_000
	maxMemoryMiB    = 16 << 20 // 16 TiB
	maxZones        = 64
	maxWarmWindows  = 24
	maxCleared      = 1_000
	maxQueue        = 100_000
	maxIdleAfter    = 7 * 24 * time.Hour
	maxLedgerWindow = 7 * 24 * time.Hour
	minDeadline     = 100 * time.Millisecond
	maxDeadline     = time.Hour
)

// Defaults of what a file may leave out.
const (
	defaultQueue        = 200
	defaultLedgerWindow = 24 * time.Hour
	defaultDeadline     = 30 * time.Second
	defaultMaxDeadline  = 10 * time.Minute
	defaultIdleAfter    = 5 * time.Minute
)

// maxNameBytes bounds names and versions.
const maxNameBytes = 63

// isName tells whether s is a name. Names leave out the colon, which joins model and
// adapter in a request.
func isName(s string) bool { return isWord(s, "._-") }

func isVersion(s string) bool { return isWord(s, "._+-") }

// isWord tells whether s starts with a letter or digit and goes on with those or marks.
// Tens of thousands of adapters pass through it, for which patterns take too long.
func isWord(s, marks string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || strings.IndexByte(marks, c) < 0) {
			return false
		}
	}
	return true
}

func isDigest(s string) bool {
	return len(s) == 2*sha256.Size && strings.Trim(s, "0123456789abcdef") == ""
}

type fault struct {
	at      place
	problem string
}

// compiler builds a spec from a decoded file and collects the faults on the way.
type compiler struct {
	data   []byte
	faults []fault
}

func (c *compiler) fault(at place, format string, args ...any) {
	if len(c.faults) < maxErrors {
		c.faults = append(c.faults, fault{at, fmt.Sprintf(format, args...)})
	}
}

func (c *compiler) errorList() ErrorList {
	l := newLocator(c.data)
	list := make(ErrorList, len(c.faults))
	for i, f := range c.faults {
		pos := l.find(f.at)
		path := f.at.table
		if path != "" && f.at.key != "" {
			path += "."
		}
		list[i] = &Error{Line: pos.Line, Column: pos.Column, Field: path + f.at.key, Problem: f.problem}
	}
	return list
}

func (c *compiler) compile(f *file) *wire.Spec {
	s := &wire.Spec{Name: f.Name}
	c.name(place{key: "name"}, f.Name)
	s.Version = c.required(place{key: "version"}, f.Version, 1, 1<<62)
	s.Limits = c.limits(&f.Limits)
	s.Models = c.models(f.Models)
	s.Adapters = c.adapters(f.Adapters, s.Models)
	s.Services = c.services(f.Services)
	s.ClearedDigests = c.cleared(f.Quarantine.Clear)
	return s
}

func (c *compiler) limits(t *limitsTable) *wire.Limits {
	at := func(key string) place { return place{table: "limits", key: key} }
	queue := uint64(defaultQueue)
	if t.QueuePerModel != nil {
		queue = c.required(at("queue_per_model"), t.QueuePerModel, 1, maxQueue)
	}
	window := c.duration(at("ledger_window"), t.LedgerWindow, defaultLedgerWindow, time.Second, maxLedgerWindow)
	longest := c.duration(at("max_deadline"), t.MaxDeadline, defaultMaxDeadline, minDeadline, maxDeadline)
	usual := c.duration(at("default_deadline"), t.DefaultDeadline, min(defaultDeadline, longest), minDeadline, maxDeadline)
	if usual > longest {
		c.fault(at("default_deadline"), "%s lies above max_deadline, %s", usual, longest)
	}
	if window < longest {
		c.fault(at("ledger_window"), "%s lies below max_deadline, %s: a key would be forgotten while its call runs", window, longest)
	}
	return &wire.Limits{
		QueuePerModel:     uint32(queue),
		LedgerWindowS:     uint32(window / time.Second),
		DefaultDeadlineMs: uint32(usual / time.Millisecond),
		MaxDeadlineMs:     uint32(longest / time.Millisecond),
	}
}

func (c *compiler) models(tables []modelTable) []*wire.Model {
	c.count("models", len(tables), maxModels)
	seen := make(map[string]bool, len(tables))
	models := make([]*wire.Model, 0, len(tables))
	for i := range tables {
		m := c.model(i, &tables[i])
		if seen[m.Name] {
			c.fault(place{table: "models", n: i, key: "name"}, "model %q is named twice", m.Name)
		}
		seen[m.Name] = true
		models = append(models, m)
	}
	slices.SortStableFunc(models, compareModels)
	return models
}

func (c *compiler) model(i int, t *modelTable) *wire.Model {
	at := func(key string) place { return place{table: "models", n: i, key: key} }
	c.name(at("name"), t.Name)
	c.version(at("version"), t.Version)
	m := &wire.Model{Name: t.Name, Version: t.Version}
	m.Replicas = uint32(c.required(at("replicas"), t.Replicas, 0, maxReplicas))
	m.MinReplicas = uint32(c.bounded(at("min_replicas"), t.MinReplicas, 0, maxReplicas))
	if m.MinReplicas > m.Replicas {
		c.fault(at("min_replicas"), "%d lies above replicas, %d", m.MinReplicas, m.Replicas)
	}
	m.MemoryMib = c.required(at("memory_mib"), t.MemoryMiB, 1, maxMemoryMiB)
	m.Zones = c.zones(at("zones"), t.Zones)
	idle := c.duration(at("idle_after"), t.IdleAfter, defaultIdleAfter, time.Second, maxIdleAfter)
	m.IdleAfterS = uint32(idle / time.Second)
	m.Warm = c.warm(i, t.Warm, m.Replicas)
	return m
}

func (c *compiler) zones(at place, names []string) []string {
	if len(names) > maxZones {
		c.fault(at, "names %d zones, at most %d are allowed", len(names), maxZones)
		return nil
	}
	zones := slices.Clone(names)
	slices.Sort(zones)
	for i, z := range zones {
		c.name(at, z)
		if i > 0 && zones[i-1] == z {
			c.fault(at, "zone %q is named twice", z)
		}
	}
	return zones
}

func (c *compiler) warm(model int, tables []warmTable, replicas uint32) []*wire.WarmWindow {
	if len(tables) > maxWarmWindows {
		c.fault(place{table: "models", n: model, key: "warm"}, "has %d windows, at most %d are allowed", len(tables), maxWarmWindows)
		return nil
	}
	var windows []*wire.WarmWindow
	for i := range tables {
		at := func(key string) place { return place{table: "models.warm", n: model, m: i, key: key} }
		w := &wire.WarmWindow{
			FromMinute:  c.minute(at("from"), tables[i].From),
			UntilMinute: c.minute(at("until"), tables[i].Until),
			Replicas:    uint32(c.bounded(at("replicas"), tables[i].Replicas, 1, maxReplicas)),
		}
		if w.Replicas > replicas {
			c.fault(at("replicas"), "%d lies above the model's replicas, %d", w.Replicas, replicas)
		}
		if w.FromMinute == w.UntilMinute {
			c.fault(at("until"), "equals from: the window is empty")
		}
		windows = append(windows, w)
	}
	slices.SortStableFunc(windows, compareWindows)
	return windows
}

func (c *compiler) adapters(tables []adapterTable, models []*wire.Model) []*wire.Adapter {
	c.count("adapters", len(tables), maxAdapters)
	known := make(map[string]bool, len(models))
	for _, m := range models {
		known[m.Name] = true
	}
	type key struct{ model, name string }
	seen := make(map[key]bool, len(tables))
	adapters := make([]*wire.Adapter, 0, len(tables))
	for i := range tables {
		t := &tables[i]
		at := func(k string) place { return place{table: "adapters", n: i, key: k} }
		c.name(at("name"), t.Name)
		c.version(at("version"), t.Version)
		if !known[t.Model] {
			c.fault(at("model"), "the file has no model %q", t.Model)
		}
		k := key{t.Model, t.Name}
		if seen[k] {
			c.fault(at("name"), "adapter %q of model %q is named twice", t.Name, t.Model)
		}
		seen[k] = true
		mem := c.required(at("memory_mib"), t.MemoryMiB, 1, maxMemoryMiB)
		adapters = append(adapters, &wire.Adapter{Name: t.Name, Model: t.Model, Version: t.Version, MemoryMib: mem})
	}
	slices.SortStableFunc(adapters, compareAdapters)
	return adapters
}

func (c *compiler) services(tables []serviceTable) []*wire.Service {
	c.count("services", len(tables), maxServices)
	seen := map[string]bool{}
	var services []*wire.Service
	for i, t := range tables {
		at := place{table: "services", n: i, key: "name"}
		c.name(at, t.Name)
		if seen[t.Name] {
			c.fault(at, "service %q is named twice", t.Name)
		}
		seen[t.Name] = true
		services = append(services, &wire.Service{Name: t.Name, Idempotent: t.Idempotent})
	}
	slices.SortStableFunc(services, compareServices)
	return services
}

func (c *compiler) cleared(digests []string) []string {
	at := place{table: "quarantine", key: "clear"}
	if len(digests) > maxCleared {
		c.fault(at, "names %d digests, at most %d are allowed", len(digests), maxCleared)
		return nil
	}
	sorted := slices.Clone(digests)
	slices.Sort(sorted)
	for i, d := range sorted {
		if !isDigest(d) {
			c.fault(at, "%q is no body digest: 64 lower-case hex digits are needed", d)
		}
		if i > 0 && sorted[i-1] == d {
			c.fault(at, "digest %s is named twice", d)
		}
	}
	return sorted
}

func (c *compiler) count(table string, got, most int) {
	if got > most {
		c.fault(place{key: table}, "has %d entries, at most %d are allowed", got, most)
	}
}

func (c *compiler) name(at place, s string) {
	if !isName(s) {
		c.fault(at, "%q is no name: 1 to 63 letters, digits, '.', '_' or '-' are needed, the first a letter or digit", s)
	}
}

func (c *compiler) version(at place, s string) {
	if !isVersion(s) {
		c.fault(at, "%q is no version: 1 to 63 letters, digits, '.', '_', '+' or '-' are needed, the first a letter or digit", s)
	}
}

func (c *compiler) required(at place, v *int64, least, most int64) uint64 {
	if v == nil {
		c.fault(at, "is missing; %d to %d is allowed", least, most)
		return 0
	}
	return c.bounded(at, *v, least, most)
}

func (c *compiler) bounded(at place, v, least, most int64) uint64 {
	if v < least || v > most {
		c.fault(at, "%d is out of bounds; %d to %d is allowed", v, least, most)
		return uint64(least)
	}
	return uint64(v)
}

// duration reads a duration; an empty one takes the default.
func (c *compiler) duration(at place, s string, preset, least, most time.Duration) time.Duration {
	if s == "" {
		return preset
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		c.fault(at, "%q is no duration; it must be %s", s, durationDoc)
		return preset
	}
	if d < least || d > most {
		c.fault(at, "%s is out of bounds; %s to %s is allowed", s, least, most)
		return preset
	}
	return d
}

// minute reads a time of day as minutes after midnight.
func (c *compiler) minute(at place, s string) uint32 {
	t, err := time.Parse("15:04", s)
	if err != nil || len(s) != len("15:04") {
		c.fault(at, "%q is no time of day; it must be %s", s, clockDoc)
		return 0
	}
	return uint32(t.Hour()*60 + t.Minute())
}

func compareModels(a, b *wire.Model) int { return strings.Compare(a.Name, b.Name) }

func compareServices(a, b *wire.Service) int { return strings.Compare(a.Name, b.Name) }

func compareAdapters(a, b *wire.Adapter) int {
	if c := strings.Compare(a.Model, b.Model); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

func compareWindows(a, b *wire.WarmWindow) int {
	if a.FromMinute != b.FromMinute {
		return int(a.FromMinute) - int(b.FromMinute)
	}
	return int(a.UntilMinute) - int(b.UntilMinute)
}
