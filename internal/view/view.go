// Package view holds what a node follows of the replicated state: the applied spec,
// the leases and the suspect bodies, always at the highest index seen.
package view

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// Patcher turns the spec at the delta's base index into the spec at its index; it
// does not change its arguments.
type Patcher func(base *wire.Spec, delta *wire.SpecDelta) (*wire.Spec, error)

// Errors of Apply; the follower keeps what it had.
var (
	// ErrOlder says that the delta's index does not lie above the one held.
	ErrOlder = errors.New("the delta is older than what is held")
	// ErrGap says that the spec delta builds on another base: a snapshot is needed.
	ErrGap = errors.New("the delta builds on a spec that is not held")
)

type adapterKey struct{ model, adapter string }

// Snapshot is one immutable state of a follower; its methods are safe for
// concurrent use.
type Snapshot struct {
	Index    uint64 // log index of the newest delta taken
	Spec     *wire.Spec
	models   map[string]*wire.Model
	adapters map[adapterKey]*wire.Adapter
	services map[string]*wire.Service
	leases   map[string]*wire.Lease
	suspects map[string]*wire.Suspect
}

// View is a snapshot together with whether the node may still act on it.
type View struct {
	*Snapshot
	Fresh bool // false: the node was cut off for longer than its lease
}

// Model returns the model of that name, or nil.
func (s *Snapshot) Model(name string) *wire.Model { return s.models[name] }

// Adapter returns the adapter of the model, or nil.
func (s *Snapshot) Adapter(model, name string) *wire.Adapter {
	return s.adapters[adapterKey{model, name}]
}

// Service returns the plain service of that name, or nil.
func (s *Snapshot) Service(name string) *wire.Service { return s.services[name] }

// Lease returns the lease of that name, or nil.
func (s *Snapshot) Lease(name string) *wire.Lease { return s.leases[name] }

// Suspect returns what is known against a body digest, or nil.
func (s *Snapshot) Suspect(digest string) *wire.Suspect { return s.suspects[digest] }

// Suspects returns all that is known against bodies, sorted by digest.
func (s *Snapshot) Suspects() []*wire.Suspect {
	out := slices.Collect(maps.Values(s.suspects))
	slices.SortFunc(out, func(a, b *wire.Suspect) int { return strings.Compare(a.BodyDigest, b.BodyDigest) })
	return out
}

// Limits returns the request limits; never nil.
func (s *Snapshot) Limits() *wire.Limits {
	if l := s.Spec.GetLimits(); l != nil {
		return l
	}
	return &wire.Limits{}
}

// Empty returns the snapshot of a node that has heard nothing.
func Empty() *Snapshot { return (&Snapshot{Spec: &wire.Spec{}}).indexed() }

// Of returns the snapshot of a spec without leases and suspects.
func Of(spec *wire.Spec) *Snapshot {
	return (&Snapshot{Index: spec.GetIndex(), Spec: spec}).indexed()
}

func (s *Snapshot) indexed() *Snapshot {
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

// Apply returns the snapshot after the delta. A delta that does not lie above the
// held index is refused with ErrOlder, so that a configuration in force never
// reverts; a spec delta on another base is refused with ErrGap. The receiver stays.
func (s *Snapshot) Apply(d *wire.Delta, patch Patcher) (*Snapshot, error) {
	if d.GetIndex() <= s.Index {
		return nil, ErrOlder
	}
	n := &Snapshot{Index: d.GetIndex()}
	base := s
	if d.GetSnapshot() {
		base = Empty()
	}
	if err := n.takeSpec(s, base, d.GetSpec(), patch); err != nil {
		return nil, err
	}
	n.leases = merge(base.leases, d.GetPutLeases(), d.GetDropLeases(), (*wire.Lease).GetName)
	n.suspects = merge(base.suspects, d.GetPutSuspects(), d.GetDropSuspects(), (*wire.Suspect).GetBodyDigest)
	return n, nil
}

// takeSpec fills in the spec part; held is what the node enforces, base what the
// delta is laid over.
func (s *Snapshot) takeSpec(held, base *Snapshot, d *wire.SpecDelta, patch Patcher) error {
	if d == nil {
		if base != held && held.Spec.GetIndex() > 0 {
			return errors.Wrap(ErrGap, "the snapshot holds no spec")
		}
		s.Spec, s.models, s.adapters, s.services = base.Spec, base.models, base.adapters, base.services
		return nil
	}
	if d.GetIndex() < held.Spec.GetIndex() {
		return ErrOlder
	}
	if b := d.GetBaseIndex(); b != 0 && b != base.Spec.GetIndex() {
		return ErrGap
	}
	from := base.Spec
	if d.GetBaseIndex() == 0 {
		from = &wire.Spec{}
	}
	spec, err := patch(proto.CloneOf(from), d)
	if err != nil {
		return errors.Wrap(err, "patching the spec")
	}
	s.Spec = spec
	s.indexed()
	return nil
}

// merge returns base with puts added and drops removed; base stays.
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
