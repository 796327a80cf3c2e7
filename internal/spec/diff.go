package spec

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// ErrBaseMismatch is returned for a delta whose base is not the spec that it is applied to.
// The node must request a delta with the whole spec.
var ErrBaseMismatch = errors.New("the delta's base index differs from the index of the spec in force")

// ErrStaleDelta is returned for a delta that would revert a node to an older spec.
var ErrStaleDelta = errors.New("the delta is older than the spec in force")

// Diff returns the delta that turns old into next. If old is nil or was not accepted by
// the log (index 0), the delta holds the whole spec.
func Diff(old, next *wire.Spec) *wire.SpecDelta {
	d := &wire.SpecDelta{Index: next.Index, Name: next.Name, Version: next.Version, Digest: next.Digest}
	if old.GetIndex() == 0 {
		old = &wire.Spec{}
	}
	d.BaseIndex = old.Index
	d.PutModels, d.DropModels = diffSorted(old.Models, next.Models, compareModels, equalModels, (*wire.Model).GetName)
	d.PutAdapters, d.DropAdapters = diffSorted(old.Adapters, next.Adapters, compareAdapters, equalAdapters, adapterKey)
	d.PutServices, d.DropServices = diffSorted(old.Services, next.Services, compareServices, equalServices, (*wire.Service).GetName)
	if !proto.Equal(old.Limits, next.Limits) {
		d.Limits = next.Limits
	}
	if !slices.Equal(old.ClearedDigests, next.ClearedDigests) {
		d.ClearedDigests = next.ClearedDigests
		d.ClearedChanged = true
	}
	return d
}

// Patch returns the result of applying d to old, which it does not change; unchanged parts
// are shared. It returns ErrBaseMismatch if d is based on another spec, and ErrStaleDelta
// if the index of d is lower than that of old.
func Patch(old *wire.Spec, d *wire.SpecDelta) (*wire.Spec, error) {
	if d.Index < old.GetIndex() {
		return nil, errors.Wrapf(ErrStaleDelta, "delta index %d, spec index %d", d.Index, old.GetIndex())
	}
	if d.BaseIndex == 0 {
		old = &wire.Spec{}
	} else if old.GetIndex() != d.BaseIndex {
		return nil, errors.Wrapf(ErrBaseMismatch, "base index %d, spec index %d", d.BaseIndex, old.GetIndex())
	}
	s := &wire.Spec{Name: d.Name, Version: d.Version, Digest: d.Digest, Index: d.Index}
	s.Models = patchSorted(old.Models, d.PutModels, d.DropModels, compareModels, compareModelName)
	s.Adapters = patchSorted(old.Adapters, d.PutAdapters, d.DropAdapters, compareAdapters, compareAdapters)
	s.Services = patchSorted(old.Services, d.PutServices, d.DropServices, compareServices, compareServiceName)
	s.Limits = old.Limits
	if d.Limits != nil {
		s.Limits = d.Limits
	}
	s.ClearedDigests = old.ClearedDigests
	if d.ClearedChanged {
		s.ClearedDigests = d.ClearedDigests
	}
	return s, nil
}

// diffSorted compares two sorted lists and returns the elements to put and the keys to
// drop.
func diffSorted[T, K any](old, next []T, compare func(a, b T) int, equal func(a, b T) bool, key func(T) K) (put []T, drop []K) {
	i, j := 0, 0
	for i < len(old) || j < len(next) {
		c := 0
		switch {
		case i == len(old):
			c = 1
		case j == len(next):
			c = -1
		default:
			c = compare(old[i], next[j])
		}
		switch {
		case c < 0:
			drop = append(drop, key(old[i]))
			i++
		case c > 0:
			put = append(put, next[j])
			j++
		default:
			if !equal(old[i], next[j]) {
				put = append(put, next[j])
			}
			i++
			j++
		}
	}
	return put, drop
}

// patchSorted merges put into the sorted list old and removes the elements whose keys are
// in drop, which must be sorted by key. Without changes it returns old itself.
func patchSorted[T, K any](old, put []T, drop []K, compare func(a, b T) int, compareKey func(a T, k K) int) []T {
	if len(put) == 0 && len(drop) == 0 {
		return old
	}
	put = slices.Clone(put)
	slices.SortFunc(put, compare)
	dropped := func(v T) bool {
		_, found := slices.BinarySearchFunc(drop, v, func(k K, v T) int { return -compareKey(v, k) })
		return found
	}
	merged := make([]T, 0, len(old)+len(put))
	j := 0
	for _, v := range old {
		for j < len(put) && compare(put[j], v) < 0 {
			merged = append(merged, put[j])
			j++
		}
		switch {
		case j < len(put) && compare(put[j], v) == 0:
			merged = append(merged, put[j])
			j++
		case !dropped(v):
			merged = append(merged, v)
		}
	}
	return append(merged, put[j:]...)
}

func adapterKey(a *wire.Adapter) *wire.Adapter {
	return &wire.Adapter{Name: a.Name, Model: a.Model}
}

func compareModelName(m *wire.Model, name string) int { return strings.Compare(m.Name, name) }

func compareServiceName(s *wire.Service, name string) int { return strings.Compare(s.Name, name) }

func equalModels(a, b *wire.Model) bool { return a == b || proto.Equal(a, b) }

// equalAdapters compares the fields directly, because proto.Equal is too slow for tens of
// thousands of adapters.
func equalAdapters(a, b *wire.Adapter) bool {
	return a == b || a.Name == b.Name && a.Model == b.Model && a.Version == b.Version && a.MemoryMib == b.MemoryMib
}

func equalServices(a, b *wire.Service) bool {
	return a.Name == b.Name && a.Idempotent == b.Idempotent
}

// Coalesce merges consecutive deltas into one, from the base of the first to current, the
// spec that the last one produced. There must be at least one delta.
func Coalesce(deltas []*wire.SpecDelta, current *wire.Spec) *wire.SpecDelta {
	base := deltas[0].BaseIndex
	if base == 0 {
		return Diff(nil, current)
	}
	d := &wire.SpecDelta{
		BaseIndex: base, Index: current.Index, Name: current.Name,
		Version: current.Version, Digest: current.Digest,
	}
	var models, services []string
	var adapters []*wire.Adapter
	for _, delta := range deltas {
		models = append(models, delta.DropModels...)
		for _, m := range delta.PutModels {
			models = append(models, m.Name)
		}
		services = append(services, delta.DropServices...)
		for _, s := range delta.PutServices {
			services = append(services, s.Name)
		}
		adapters = append(append(adapters, delta.DropAdapters...), delta.PutAdapters...)
		if delta.Limits != nil {
			d.Limits = current.Limits
		}
		if delta.ClearedChanged {
			d.ClearedChanged = true
			d.ClearedDigests = current.ClearedDigests
		}
	}
	for _, name := range sortedUnique(models, strings.Compare) {
		if m := FindModel(current, name); m != nil {
			d.PutModels = append(d.PutModels, m)
		} else {
			d.DropModels = append(d.DropModels, name)
		}
	}
	for _, name := range sortedUnique(services, strings.Compare) {
		if s := FindService(current, name); s != nil {
			d.PutServices = append(d.PutServices, s)
		} else {
			d.DropServices = append(d.DropServices, name)
		}
	}
	for _, a := range sortedUnique(adapters, compareAdapters) {
		if adapter := FindAdapter(current, a.Model, a.Name); adapter != nil {
			d.PutAdapters = append(d.PutAdapters, adapter)
		} else {
			d.DropAdapters = append(d.DropAdapters, adapterKey(a))
		}
	}
	return d
}

func sortedUnique[T any](list []T, compare func(a, b T) int) []T {
	slices.SortFunc(list, compare)
	return slices.CompactFunc(list, func(a, b T) bool { return compare(a, b) == 0 })
}
