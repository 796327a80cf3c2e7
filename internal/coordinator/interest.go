package coordinator

import (
	"slices"

	"gentiankeel/internal/fleet"
	"gentiankeel/internal/wire"
)

// Entries are told only of the models and adapters that they have asked for: what every
// entry hears of every change would grow with the product of entries and runners, and
// most models are asked for at few entries.

// interest is what one entry follows, and what it was sent.
type interest struct {
	models map[modelOf]map[string]bool // adapters asked for, by model
	sent   map[string]*wire.UpstreamState
	number map[uint32]*wire.UpstreamState // of what was sent
	plain  map[string]bool                // services without models
	// toldWaits is set while the entry knows of models that it waits for.
	toldWaits bool
}

type modelOf struct{ service, model string }

func newInterest(plain map[string]bool) interest {
	return interest{
		plain: plain, models: map[modelOf]map[string]bool{},
		sent: map[string]*wire.UpstreamState{}, number: map[uint32]*wire.UpstreamState{},
	}
}

// learn takes a report's demand in; it reports whether the entry follows more than before.
func (i *interest) learn(demand []*wire.ModelDemand) bool {
	grew := false
	for _, d := range demand {
		k := modelOf{d.Service, d.Model}
		adapters := i.models[k]
		if adapters == nil {
			adapters = map[string]bool{}
			i.models[k] = adapters
			grew = true
		}
		if d.Adapter != "" && !adapters[d.Adapter] {
			adapters[d.Adapter] = true
			grew = true
		}
	}
	return grew
}

// view is a state with only the models and adapters that the entry follows.
func (i *interest) view(s *wire.UpstreamState) *wire.UpstreamState {
	v := &wire.UpstreamState{
		Id: s.Id, BornUnixMs: s.BornUnixMs, Sequence: s.Sequence, Service: s.Service, Address: s.Address,
		Zone: s.Zone, Slots: s.Slots, Phase: s.Phase, LeavesMs: s.LeavesMs, Number: s.Number,
	}
	for _, m := range s.Models {
		adapters, follows := i.models[modelOf{s.Service, m.Name}]
		if !follows {
			continue
		}
		h := &wire.HeldModel{Name: m.Name, Version: m.Version}
		for _, a := range m.Adapters {
			if adapters[a] {
				h.Adapters = append(h.Adapters, a)
			}
		}
		v.Models = append(v.Models, h)
	}
	return v
}

// changes returns the views that look other than what the entry was sent, and notes them
// as sent.
func (i *interest) changes(states []*wire.UpstreamState) []*wire.UpstreamState {
	var out []*wire.UpstreamState
	for _, s := range states {
		if s.Phase == wire.UpstreamPhase_PHASE_GONE {
			delete(i.number, i.sent[s.Id].GetNumber())
			delete(i.sent, s.Id)
			out = append(out, s)
			continue
		}
		v := i.view(s)
		if old := i.sent[s.Id]; old != nil && fleet.EqualForEntries(old, v) {
			continue
		}
		delete(i.number, i.sent[s.Id].GetNumber())
		i.sent[s.Id], i.number[v.Number] = v, v
		out = append(out, v)
	}
	return out
}

// loads returns those of the upstreams that the entry could use.
func (i *interest) loads(all *wire.FleetLoads) *wire.FleetLoads {
	var own *wire.FleetLoads
	for n, number := range all.GetUpstreams() {
		s := i.number[number]
		if s == nil || len(s.Models) == 0 && !i.plain[s.Service] {
			continue
		}
		if own == nil {
			own = &wire.FleetLoads{}
		}
		own.Upstreams = append(own.Upstreams, number)
		own.Running = append(own.Running, all.Running[n])
	}
	return own
}

func (i *interest) waits(all []*wire.ModelWait) []*wire.ModelWait {
	return slices.DeleteFunc(slices.Clone(all), func(w *wire.ModelWait) bool {
		return i.models[modelOf{w.Service, w.Model}] == nil
	})
}

// update is what of an update of the fleet concerns the entry; nil for nothing.
func (i *interest) update(up *wire.FleetUpdate) *wire.FleetUpdate {
	own := &wire.FleetUpdate{
		Term: up.Term, Upstreams: i.changes(up.Upstreams),
		Loads: i.loads(up.Loads), Waits: i.waits(up.Waits), HasWaits: up.HasWaits, ReportMs: up.ReportMs,
	}
	if len(own.Upstreams) == 0 && own.Loads == nil && !i.waitsChanged(own) {
		return nil
	}
	return own
}

// waitsChanged reports whether an update's waits say anything to the entry. An empty list
// ends what it was told before.
func (i *interest) waitsChanged(own *wire.FleetUpdate) bool {
	if !own.HasWaits {
		return false
	}
	told := i.toldWaits
	i.toldWaits = len(own.Waits) > 0
	return told || i.toldWaits
}
