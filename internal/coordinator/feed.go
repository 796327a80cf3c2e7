package coordinator

import (
	"iter"
	"maps"
	"slices"

	"gentiankeel/internal/fleet"
	"gentiankeel/internal/wire"
)

// feed finds the entries that a change of the fleet concerns and filters updates for them. Entries are
// found by the models that they follow: in a peak there are hundreds of changes a second, each of a
// model that few entries use, and a pass over all entries for each would multiply the two.
type feed struct {
	plainServices map[string]bool              // services without models
	subs          map[string]*subscription     // by entry
	followers     map[modelKey]map[string]bool // entries by the model that they follow
	filtered      int                          // states and estimates that were filtered for an entry
}

func newFeed() *feed {
	return &feed{subs: map[string]*subscription{}, followers: map[modelKey]map[string]bool{}}
}

// attach begins to feed an entry that was sent nothing yet.
func (f *feed) attach(entry string) {
	f.detach(entry)
	sub := newSubscription(f.plainServices)
	f.subs[entry] = &sub
}

// detach ends the feed of an entry.
func (f *feed) detach(entry string) {
	sub := f.subs[entry]
	if sub == nil {
		return
	}
	for m := range sub.models {
		delete(f.followers[m], entry)
		if len(f.followers[m]) == 0 {
			delete(f.followers, m)
		}
	}
	delete(f.subs, entry)
}

// setPlainServices sets which services have no models, and reports whether that differs from before.
// Entries have to be told of the upstreams of a service that has become plain.
func (f *feed) setPlainServices(services map[string]bool) bool {
	if maps.Equal(f.plainServices, services) {
		return false
	}
	f.plainServices = services
	for _, sub := range f.subs {
		sub.plainServices = services
	}
	return true
}

// follow adds the models of an entry's demand and returns those that are new or were asked for with a
// new adapter.
func (f *feed) follow(entry string, demand []*wire.ModelDemand) []modelKey {
	added := f.subs[entry].subscribe(demand)
	for _, m := range added {
		if f.followers[m] == nil {
			f.followers[m] = map[string]bool{}
		}
		f.followers[m][entry] = true
	}
	return added
}

// snapshot returns what an entry that was sent nothing yet has to know of the fleet.
func (f *feed) snapshot(entry string, core *fleet.Core, term uint64) *wire.FleetUpdate {
	sub := f.subs[entry]
	up := &wire.FleetUpdate{Term: term, Snapshot: true, Upstreams: sub.changedStates(core.Upstreams()), HasWaits: true, Waits: f.waitsOf(entry, core),
		HasSoftware: true, Software: core.Software(), SoftwareKnownMs: knownMs(core)}
	up.Loads = sub.filterLoads(core.Loads())
	sub.recordWaits(up)
	return up
}

// followUp returns what an entry has to be told about models that it has begun to follow; nil: nothing.
func (f *feed) followUp(entry string, core *fleet.Core, term uint64, added []modelKey) *wire.FleetUpdate {
	byService := map[string][]string{}
	for _, m := range added {
		byService[m.service] = append(byService[m.service], m.model)
	}
	up := &wire.FleetUpdate{Term: term}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		up.Upstreams = append(up.Upstreams, core.UpstreamsHolding(service, byService[service])...)
	}
	up.Loads = core.LoadsOf(up.Upstreams) // only changed loads are published later
	if len(core.Waits(refs(slices.Values(added)))) > 0 {
		up.HasWaits, up.Waits = true, f.waitsOf(entry, core)
	}
	return f.filter(entry, up)
}

// filter returns the part of an update that is relevant to an entry; nil: nothing.
func (f *feed) filter(entry string, up *wire.FleetUpdate) *wire.FleetUpdate {
	f.filtered += len(up.Upstreams) + len(up.Waits)
	return f.subs[entry].filterUpdate(up)
}

// waitsOf returns the estimates for the models that an entry follows.
func (f *feed) waitsOf(entry string, core *fleet.Core) []*wire.ModelWait {
	return core.Waits(refs(maps.Keys(f.subs[entry].models)))
}

func refs(models iter.Seq[modelKey]) iter.Seq[fleet.ModelRef] {
	return func(yield func(fleet.ModelRef) bool) {
		for m := range models {
			if !yield(fleet.ModelRef{Service: m.service, Model: m.model}) {
				return
			}
		}
	}
}

// publication gathers what the actions of one step publish, and whom that concerns.
type publication struct {
	update   *wire.FleetUpdate // without waits
	everyone bool              // it concerns all entries
	entries  map[string]bool   // entries that it concerns
	waits    map[string]bool   // entries whose waits have changed
}

func newPublication(term uint64) *publication {
	return &publication{update: &wire.FleetUpdate{Term: term}, entries: map[string]bool{}, waits: map[string]bool{}}
}

// addState adds a new state of an upstream.
func (f *feed) addState(p *publication, a fleet.Publish) {
	p.update.Upstreams = append(p.update.Upstreams, a.State)
	if len(a.OnlyModels) == 0 {
		p.everyone = true
		return
	}
	for _, name := range a.OnlyModels {
		maps.Copy(p.entries, f.followers[modelKey{a.State.Service, name}])
	}
}

// addWaits adds changed estimates of when models are loaded.
func (f *feed) addWaits(p *publication, a fleet.PublishWaits) {
	for _, m := range a.Changed {
		maps.Copy(p.waits, f.followers[modelKey{m.Service, m.Model}])
	}
}

// updates returns the update of each entry that a publication concerns, by entry.
func (f *feed) updates(p *publication, core *fleet.Core) map[string]*wire.FleetUpdate {
	out := map[string]*wire.FleetUpdate{}
	add := func(entry string) {
		up := &wire.FleetUpdate{Term: p.update.Term, Upstreams: p.update.Upstreams, Loads: p.update.Loads, ReportMs: p.update.ReportMs,
			Suspects: p.update.Suspects, Entries: p.update.Entries, Software: p.update.Software, HasSoftware: p.update.HasSoftware, SoftwareKnownMs: p.update.SoftwareKnownMs}
		if p.waits[entry] {
			up.HasWaits, up.Waits = true, f.waitsOf(entry, core)
		}
		if filtered := f.filter(entry, up); filtered != nil {
			out[entry] = filtered
		}
	}
	if p.everyone {
		for entry := range f.subs {
			add(entry)
		}
		return out
	}
	maps.Copy(p.entries, p.waits)
	for entry := range p.entries {
		add(entry)
	}
	return out
}
