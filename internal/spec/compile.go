package spec

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/wire"
)

// Bounds of the values in an applied file.
const (
	maxModels         = 10_000
	maxAdapters       = 200_000
	maxServices       = 1_000
	maxReplicas       = 10_000
	maxMemoryMiB      = 16 << 20 // 16 TiB
	maxZones          = 64
	maxWarmWindows    = 24
	maxClearedDigests = 1_000
	maxQueuePerModel  = 100_000
	maxIdleAfter      = 7 * 24 * time.Hour
	maxLedgerWindow   = 7 * 24 * time.Hour
	minDeadline       = 100 * time.Millisecond
	maxDeadline       = time.Hour
)

// Defaults of optional values.
const (
	defaultQueuePerModel = 200
	defaultLedgerWindow  = 24 * time.Hour
	defaultDeadline      = 30 * time.Second
	defaultMaxDeadline   = 10 * time.Minute
	defaultIdleAfter     = 5 * time.Minute
)

// maxNameBytes bounds the length of names and versions.
const maxNameBytes = 63

// isName reports whether s is a valid name. Colons are not allowed, because a request
// addresses an adapter as "model:adapter".
func isName(s string) bool { return isIdentifier(s, "._-") }

func isVersion(s string) bool { return isIdentifier(s, "._+-") }

// isIdentifier reports whether s starts with a letter or digit and continues with letters,
// digits or the given punctuation. It avoids regular expressions, which are too slow for
// tens of thousands of adapters.
func isIdentifier(s, punctuation string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || strings.IndexByte(punctuation, c) < 0) {
			return false
		}
	}
	return true
}

func isDigest(s string) bool {
	return len(s) == 2*sha256.Size && strings.Trim(s, "0123456789abcdef") == ""
}

// issue is a problem found in a file.
type issue struct {
	loc     location
	problem string
}

// compiler builds a spec from a decoded file and collects the issues that it finds.
type compiler struct {
	data   []byte
	issues []issue
}

// report adds an issue, up to maxErrors of them.
func (c *compiler) report(loc location, format string, args ...any) {
	if len(c.issues) < maxErrors {
		c.issues = append(c.issues, issue{loc, fmt.Sprintf(format, args...)})
	}
}

func (c *compiler) errorList() ErrorList {
	l := newLocator(c.data)
	list := make(ErrorList, len(c.issues))
	for i, issue := range c.issues {
		pos := l.find(issue.loc)
		path := issue.loc.table
		if path != "" && issue.loc.key != "" {
			path += "."
		}
		list[i] = &Error{Line: pos.Line, Column: pos.Column, Field: path + issue.loc.key, Problem: issue.problem}
	}
	return list
}

func (c *compiler) compile(f *file) *wire.Spec {
	s := &wire.Spec{Name: f.Name}
	c.checkName(location{key: "name"}, f.Name)
	s.Version = c.checkRequired(location{key: "version"}, f.Version, 1, 1<<62)
	s.Limits = c.compileLimits(&f.Limits)
	s.Models = c.compileModels(f.Models)
	s.Adapters = c.compileAdapters(f.Adapters, s.Models)
	s.Services = c.compileServices(f.Services)
	s.ClearedDigests = c.compileCleared(f.Quarantine.Clear)
	return s
}

func (c *compiler) compileLimits(t *limitsTable) *wire.Limits {
	loc := func(key string) location { return location{table: "limits", key: key} }
	queue := uint64(defaultQueuePerModel)
	if t.QueuePerModel != nil {
		queue = c.checkRequired(loc("queue_per_model"), t.QueuePerModel, 1, maxQueuePerModel)
	}
	window := c.parseDuration(loc("ledger_window"), t.LedgerWindow, defaultLedgerWindow, time.Second, maxLedgerWindow)
	longestDeadline := c.parseDuration(loc("max_deadline"), t.MaxDeadline, defaultMaxDeadline, minDeadline, maxDeadline)
	deadline := c.parseDuration(loc("default_deadline"), t.DefaultDeadline, min(defaultDeadline, longestDeadline), minDeadline, maxDeadline)
	if deadline > longestDeadline {
		c.report(loc("default_deadline"), "%s lies above max_deadline, %s", deadline, longestDeadline)
	}
	if window < longestDeadline {
		c.report(loc("ledger_window"), "%s lies below max_deadline, %s: a key would be forgotten while its call runs", window, longestDeadline)
	}
	return &wire.Limits{
		QueuePerModel:     uint32(queue),
		LedgerWindowS:     uint32(window / time.Second),
		DefaultDeadlineMs: uint32(deadline / time.Millisecond),
		MaxDeadlineMs:     uint32(longestDeadline / time.Millisecond),
	}
}

func (c *compiler) compileModels(tables []modelTable) []*wire.Model {
	c.checkCount("models", len(tables), maxModels)
	seen := make(map[string]bool, len(tables))
	models := make([]*wire.Model, 0, len(tables))
	for i := range tables {
		m := c.compileModel(i, &tables[i])
		if seen[m.Name] {
			c.report(location{table: "models", index: i, key: "name"}, "model %q is named twice", m.Name)
		}
		seen[m.Name] = true
		models = append(models, m)
	}
	slices.SortStableFunc(models, compareModels)
	return models
}

func (c *compiler) compileModel(i int, t *modelTable) *wire.Model {
	loc := func(key string) location { return location{table: "models", index: i, key: key} }
	c.checkName(loc("name"), t.Name)
	c.checkVersion(loc("version"), t.Version)
	m := &wire.Model{Name: t.Name, Version: t.Version}
	m.Replicas = uint32(c.checkRequired(loc("replicas"), t.Replicas, 0, maxReplicas))
	m.MinReplicas = uint32(c.checkBounds(loc("min_replicas"), t.MinReplicas, 0, maxReplicas))
	if m.MinReplicas > m.Replicas {
		c.report(loc("min_replicas"), "%d lies above replicas, %d", m.MinReplicas, m.Replicas)
	}
	m.MemoryMib = c.checkRequired(loc("memory_mib"), t.MemoryMiB, 1, maxMemoryMiB)
	m.Zones = c.compileZones(loc("zones"), t.Zones)
	idle := c.parseDuration(loc("idle_after"), t.IdleAfter, defaultIdleAfter, time.Second, maxIdleAfter)
	m.IdleAfterS = uint32(idle / time.Second)
	m.Warm = c.compileWarm(i, t.Warm, m.Replicas)
	return m
}

func (c *compiler) compileZones(loc location, names []string) []string {
	if len(names) > maxZones {
		c.report(loc, "names %d zones, at most %d are allowed", len(names), maxZones)
		return nil
	}
	zones := slices.Clone(names)
	slices.Sort(zones)
	for i, z := range zones {
		c.checkName(loc, z)
		if i > 0 && zones[i-1] == z {
			c.report(loc, "zone %q is named twice", z)
		}
	}
	return zones
}

func (c *compiler) compileWarm(model int, tables []warmTable, replicas uint32) []*wire.WarmWindow {
	if len(tables) > maxWarmWindows {
		c.report(location{table: "models", index: model, key: "warm"}, "has %d windows, at most %d are allowed", len(tables), maxWarmWindows)
		return nil
	}
	var windows []*wire.WarmWindow
	for i := range tables {
		loc := func(key string) location { return location{table: "models.warm", index: model, subIndex: i, key: key} }
		w := &wire.WarmWindow{
			FromMinute:  c.parseMinute(loc("from"), tables[i].From),
			UntilMinute: c.parseMinute(loc("until"), tables[i].Until),
			Replicas:    uint32(c.checkBounds(loc("replicas"), tables[i].Replicas, 1, maxReplicas)),
		}
		if w.Replicas > replicas {
			c.report(loc("replicas"), "%d lies above the model's replicas, %d", w.Replicas, replicas)
		}
		if w.FromMinute == w.UntilMinute {
			c.report(loc("until"), "equals from: the window is empty")
		}
		windows = append(windows, w)
	}
	slices.SortStableFunc(windows, compareWindows)
	return windows
}

func (c *compiler) compileAdapters(tables []adapterTable, models []*wire.Model) []*wire.Adapter {
	c.checkCount("adapters", len(tables), maxAdapters)
	modelNames := make(map[string]bool, len(models))
	for _, m := range models {
		modelNames[m.Name] = true
	}
	type key struct{ model, name string }
	seen := make(map[key]bool, len(tables))
	adapters := make([]*wire.Adapter, 0, len(tables))
	for i := range tables {
		t := &tables[i]
		loc := func(k string) location { return location{table: "adapters", index: i, key: k} }
		c.checkName(loc("name"), t.Name)
		c.checkVersion(loc("version"), t.Version)
		if !modelNames[t.Model] {
			c.report(loc("model"), "the file has no model %q", t.Model)
		}
		k := key{t.Model, t.Name}
		if seen[k] {
			c.report(loc("name"), "adapter %q of model %q is named twice", t.Name, t.Model)
		}
		seen[k] = true
		mem := c.checkRequired(loc("memory_mib"), t.MemoryMiB, 1, maxMemoryMiB)
		adapters = append(adapters, &wire.Adapter{Name: t.Name, Model: t.Model, Version: t.Version, MemoryMib: mem})
	}
	slices.SortStableFunc(adapters, compareAdapters)
	return adapters
}

func (c *compiler) compileServices(tables []serviceTable) []*wire.Service {
	c.checkCount("services", len(tables), maxServices)
	seen := map[string]bool{}
	var services []*wire.Service
	for i, t := range tables {
		loc := location{table: "services", index: i, key: "name"}
		c.checkName(loc, t.Name)
		if seen[t.Name] {
			c.report(loc, "service %q is named twice", t.Name)
		}
		seen[t.Name] = true
		services = append(services, &wire.Service{Name: t.Name, Idempotent: t.Idempotent})
	}
	slices.SortStableFunc(services, compareServices)
	return services
}

func (c *compiler) compileCleared(digests []string) []string {
	loc := location{table: "quarantine", key: "clear"}
	if len(digests) > maxClearedDigests {
		c.report(loc, "names %d digests, at most %d are allowed", len(digests), maxClearedDigests)
		return nil
	}
	sorted := slices.Clone(digests)
	slices.Sort(sorted)
	for i, d := range sorted {
		if !isDigest(d) {
			c.report(loc, "%q is no body digest: 64 lower-case hex digits are needed", d)
		}
		if i > 0 && sorted[i-1] == d {
			c.report(loc, "digest %s is named twice", d)
		}
	}
	return sorted
}

func (c *compiler) checkCount(table string, n, limit int) {
	if n > limit {
		c.report(location{key: table}, "has %d entries, at most %d are allowed", n, limit)
	}
}

func (c *compiler) checkName(loc location, s string) {
	if !isName(s) {
		c.report(loc, "%q is no name: 1 to 63 letters, digits, '.', '_' or '-' are needed, the first a letter or digit", s)
	}
}

func (c *compiler) checkVersion(loc location, s string) {
	if !isVersion(s) {
		c.report(loc, "%q is no version: 1 to 63 letters, digits, '.', '_', '+' or '-' are needed, the first a letter or digit", s)
	}
}

// checkRequired is checkBounds for a value that must be present. It returns 0 after
// reporting a missing one.
func (c *compiler) checkRequired(loc location, v *int64, minimum, maximum int64) uint64 {
	if v == nil {
		c.report(loc, "is missing; %d to %d is allowed", minimum, maximum)
		return 0
	}
	return c.checkBounds(loc, *v, minimum, maximum)
}

// checkBounds returns v. If v is out of bounds, it reports an issue and returns minimum.
func (c *compiler) checkBounds(loc location, v, minimum, maximum int64) uint64 {
	if v < minimum || v > maximum {
		c.report(loc, "%d is out of bounds; %d to %d is allowed", v, minimum, maximum)
		return uint64(minimum)
	}
	return uint64(v)
}

// parseDuration parses a duration and checks its bounds. It returns fallback for an empty
// string, and after reporting an issue.
func (c *compiler) parseDuration(loc location, s string, fallback, minimum, maximum time.Duration) time.Duration {
	if s == "" {
		return fallback
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		c.report(loc, "%q is no duration; it must be %s", s, durationDoc)
		return fallback
	}
	if d < minimum || d > maximum {
		c.report(loc, "%s is out of bounds; %s to %s is allowed", s, minimum, maximum)
		return fallback
	}
	return d
}

// parseMinute parses a time of day into minutes after midnight. It returns 0 after
// reporting an issue.
func (c *compiler) parseMinute(loc location, s string) uint32 {
	t, err := time.Parse("15:04", s)
	if err != nil || len(s) != len("15:04") {
		c.report(loc, "%q is no time of day; it must be %s", s, timeOfDayDoc)
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
