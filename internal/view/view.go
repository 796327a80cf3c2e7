// Package view maintains a node's copy of the part of the replicated state that it
// follows: the applied spec, the leases and the suspect bodies. The copy never goes back
// to a lower index.
package view

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// Patcher applies a delta to the spec at the delta's base index and returns the spec at
// the delta's index. base is a copy that it may modify; delta must not be modified.
type Patcher func(base *wire.Spec, delta *wire.SpecDelta) (*wire.Spec, error)

// Errors of Apply. They leave the current snapshot unchanged.
var (
	// ErrStaleDelta is returned for a delta that is not newer than the current snapshot, or
	// whose spec is older than the current spec.
	ErrStaleDelta = errors.New("the delta is older than the current snapshot")
	// ErrBaseMismatch is returned for a spec delta with another base than the current spec,
	// and for a snapshot delta that lacks the spec. The node needs a whole snapshot.
	ErrBaseMismatch = errors.New("the spec delta has another base than the current spec")
)

type adapterKey struct{ model, adapter string }

// Snapshot is an immutable state of a follower. Its methods are safe for concurrent use.
type Snapshot struct {
	Index    uint64 // log index of the last applied delta
	Spec     *wire.Spec
	models   map[string]*wire.Model
	adapters map[adapterKey]*wire.Adapter
	services map[string]*wire.Service
	leases   map[string]*wire.Lease
	suspects map[string]*wire.Suspect
}

// View is a snapshot together with whether the node may act on it.
type View struct {
	*Snapshot
	Fresh bool // the lease is valid; false before the first renewal and once it expired
}

// Model returns the model with the given name, or nil.
func (s *Snapshot) Model(name string) *wire.Model { return s.models[name] }

// Adapter returns the model's adapter with the given name, or nil.
func (s *Snapshot) Adapter(model, name string) *wire.Adapter {
	return s.adapters[adapterKey{model, name}]
}

// Service returns the plain service with the given name, or nil.
func (s *Snapshot) Service(name string) *wire.Service { return s.services[name] }

// Lease returns the lease with the given name, or nil.
func (s *Snapshot) Lease(name string) *wire.Lease { return s.leases[name] }

// Suspect returns the suspect record of a body digest, or nil.
func (s *Snapshot) Suspect(digest string) *wire.Suspect { return s.suspects[digest] }

// Suspects returns all suspect records, sorted by body digest.
func (s *Snapshot) Suspects() []*wire.Suspect {
	out := slices.Collect(maps.Values(s.suspects))
	slices.SortFunc(out, func(a, b *wire.Suspect) int { return strings.Compare(a.BodyDigest, b.BodyDigest) })
	return out
}

// Limits returns the request limits. It never returns nil.
func (s *Snapshot) Limits() *wire.Limits {
	if l := s.Spec.GetLimits(); l != nil {
		return l
	}
	return &wire.Limits{}
}

// Empty returns the snapshot of a node that has not received any delta.
func Empty() *Snapshot { return (&Snapshot{Spec: &wire.Spec{}}).buildIndexes() }

// FromSpec returns a snapshot with the given spec and without leases and suspects.
func FromSpec(spec *wire.Spec) *Snapshot {
	return (&Snapshot{Index: spec.GetIndex(), Spec: spec}).buildIndexes()
}

// buildIndexes fills the lookup maps from the spec and returns s.
func (s *Snapshot) buildIndexes() *Snapshot {
	s.models = make(map[string]*wire.Model, len(s.Spec.GetModels()))
	for _, m := range s.Spec.GetModels() {
		s.models[m.GetName()] = m
	}
	s.adapters = make(map[adapterKey]*wire.Adapter, len(s.Spec.GetAdapters()))
	for _, a := range s.Spec.GetAdapters() {
		s.adapters[adapterKey{a.GetModel(), a.GetName()}] = a
	}
	s.services = make(map[string]*wire.Service, len(s.Spec.GetServices()))
	for _, v := range s.Spec.GetServices() {
		s.services[v.GetName()] = v
	}
	return s
}

// Apply returns the snapshot that results from a delta; the receiver is unchanged. A delta
// whose index, or whose spec's index, is too low is refused with ErrStaleDelta, so that the
// configuration in force never reverts. A spec delta with another base, and a snapshot delta
// without a spec after one was received, are refused with ErrBaseMismatch. Errors of patch
// are wrapped.
func (s *Snapshot) Apply(d *wire.Delta, patch Patcher) (*Snapshot, error) {
	if d.GetIndex() <= s.Index {
		return nil, ErrStaleDelta
	}
	n := &Snapshot{Index: d.GetIndex()}
	base := s
	if d.GetSnapshot() {
		base = Empty()
	}
	if err := n.patchSpec(s, base, d.GetSpec(), patch); err != nil {
		return nil, err
	}
	n.leases = merge(base.leases, d.GetPutLeases(), d.GetDropLeases(), (*wire.Lease).GetName)
	n.suspects = merge(base.suspects, d.GetPutSuspects(), d.GetDropSuspects(), (*wire.Suspect).GetBodyDigest)
	return n, nil
}

// patchSpec sets the spec of the new snapshot s and its lookup maps. current is the snapshot
// in force; base is the one that the delta applies to, which is empty for a snapshot delta.
func (s *Snapshot) patchSpec(current, base *Snapshot, d *wire.SpecDelta, patch Patcher) error {
	if d == nil {
		if base != current && current.Spec.GetIndex() > 0 {
			return errors.Wrap(ErrBaseMismatch, "the snapshot holds no spec")
		}
		s.Spec, s.models, s.adapters, s.services = base.Spec, base.models, base.adapters, base.services
		return nil
	}
	if d.GetIndex() < current.Spec.GetIndex() {
		return ErrStaleDelta
	}
	if b := d.GetBaseIndex(); b != 0 && b != base.Spec.GetIndex() {
		return ErrBaseMismatch
	}
	old := base.Spec
	if d.GetBaseIndex() == 0 {
		old = &wire.Spec{}
	}
	spec, err := patch(proto.CloneOf(old), d)
	if err != nil {
		return errors.Wrap(err, "patching the spec")
	}
	s.Spec = spec
	s.buildIndexes()
	return nil
}

// merge returns a copy of base without drops and with puts. Without changes it returns
// base itself.
func merge[T any](base map[string]T, puts []T, drops []string, key func(T) string) map[string]T {
	if len(puts) == 0 && len(drops) == 0 {
		return base
	}
	m := make(map[string]T, len(base)+len(puts))
	for k, v := range base {
		m[k] = v
	}
	for _, k := range drops {
		delete(m, k)
	}
	for _, v := range puts {
		m[key(v)] = v
	}
	return m
}
