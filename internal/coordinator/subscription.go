package coordinator

import (
	"slices"

	"gentiankeel/internal/fleet"
	"gentiankeel/internal/wire"
)

// subscription filters updates for one entry to the models and adapters that it has had
// requests for, and records what it was sent. The traffic of unfiltered updates would grow
// with the product of entries and runners, while most models are requested at few entries.
type subscription struct {
	models        map[modelKey]map[string]bool   // requested adapters by model
	sent          map[string]*wire.UpstreamState // by upstream id, as filtered
	sentByNumber  map[uint32]*wire.UpstreamState // the same states by number
	plainServices map[string]bool                // services without models
	// waitsSent is set if the last list of waits sent to the entry was not empty.
	waitsSent bool
}

type modelKey struct{ service, model string }

func newSubscription(plainServices map[string]bool) subscription {
	return subscription{
		plainServices: plainServices, models: map[modelKey]map[string]bool{},
		sent: map[string]*wire.UpstreamState{}, sentByNumber: map[uint32]*wire.UpstreamState{},
	}
}

// subscribe adds the models and adapters of an entry's demand, and returns the models that are new or
// have a new adapter.
func (sub *subscription) subscribe(demand []*wire.ModelDemand) []modelKey {
	var added []modelKey
	for _, d := range demand {
		k := modelKey{d.Service, d.Model}
		adapters, known := sub.models[k]
		if !known {
			adapters = map[string]bool{}
			sub.models[k] = adapters
		}
		newAdapter := d.Adapter != "" && !adapters[d.Adapter]
		if newAdapter {
			adapters[d.Adapter] = true
		}
		if !known || newAdapter {
			added = append(added, k)
		}
	}
	return added
}

// filterState returns a copy of a state with only the subscribed models and adapters.
func (sub *subscription) filterState(s *wire.UpstreamState) *wire.UpstreamState {
	v := &wire.UpstreamState{
		Id: s.Id, BornUnixMs: s.BornUnixMs, Sequence: s.Sequence, Service: s.Service, Address: s.Address,
		Zone: s.Zone, Slots: s.Slots, Phase: s.Phase, LeavesMs: s.LeavesMs, Number: s.Number, Software: s.Software,
		Limit: s.Limit, Pace: s.Pace,
	}
	for _, m := range s.Models {
		adapters, subscribed := sub.models[modelKey{s.Service, m.Name}]
		if !subscribed {
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

// concerns reports whether the entry has to know of an upstream: it can use it, was told of it before, or
// the upstream leaves, which all entries hold for the next coordinator. Telling each entry of each
// upstream would multiply the two when a large fleet starts or gets another coordinator.
func (sub *subscription) concerns(s *wire.UpstreamState) bool {
	if sub.sent[s.Id] != nil || sub.plainServices[s.Service] || s.Phase == wire.UpstreamPhase_PHASE_DRAINING {
		return true
	}
	return slices.ContainsFunc(s.Models, func(m *wire.HeldModel) bool { return sub.models[modelKey{s.Service, m.Name}] != nil })
}

// changedStates returns the filtered states that concern the entry and differ from what it was sent,
// and records them as sent.
func (sub *subscription) changedStates(states []*wire.UpstreamState) []*wire.UpstreamState {
	var out []*wire.UpstreamState
	for _, s := range states {
		if s.Phase != wire.UpstreamPhase_PHASE_GONE && !sub.concerns(s) {
			continue
		}
		if s.Phase == wire.UpstreamPhase_PHASE_GONE {
			delete(sub.sentByNumber, sub.sent[s.Id].GetNumber())
			delete(sub.sent, s.Id)
			out = append(out, s)
			continue
		}
		v := sub.filterState(s)
		if old := sub.sent[s.Id]; old != nil && fleet.EqualForEntries(old, v) {
			continue
		}
		delete(sub.sentByNumber, sub.sent[s.Id].GetNumber())
		sub.sent[s.Id], sub.sentByNumber[v.Number] = v, v
		out = append(out, v)
	}
	return out
}

// filterLoads returns the loads of the upstreams that the entry can use; nil: none.
func (sub *subscription) filterLoads(all *wire.FleetLoads) *wire.FleetLoads {
	var filtered *wire.FleetLoads
	for n, number := range all.GetUpstreams() {
		s := sub.sentByNumber[number]
		if s == nil || len(s.Models) == 0 && !sub.plainServices[s.Service] {
			continue
		}
		if filtered == nil {
			filtered = &wire.FleetLoads{}
		}
		filtered.Upstreams = append(filtered.Upstreams, number)
		filtered.Running = append(filtered.Running, all.Running[n])
		filtered.PrefillUnits = appendNth(filtered.PrefillUnits, all.PrefillUnits, n)
		filtered.KvUnits = appendNth(filtered.KvUnits, all.KvUnits, n)
		filtered.Contenders = appendNth(filtered.Contenders, all.Contenders, n)
		filtered.Pace = appendNth(filtered.Pace, all.Pace, n)
	}
	return filtered
}

// appendNth appends the value at n, if there is one.
func appendNth(dst, src []uint32, n int) []uint32 {
	if n < len(src) {
		return append(dst, src[n])
	}
	return dst
}

// filterWaits returns the waits for subscribed models.
func (sub *subscription) filterWaits(all []*wire.ModelWait) []*wire.ModelWait {
	return slices.DeleteFunc(slices.Clone(all), func(w *wire.ModelWait) bool {
		return sub.models[modelKey{w.Service, w.Model}] == nil
	})
}

// filterUpdate returns the part of an update that is relevant to the entry; nil: nothing.
func (sub *subscription) filterUpdate(up *wire.FleetUpdate) *wire.FleetUpdate {
	filtered := &wire.FleetUpdate{
		Term: up.Term, Upstreams: sub.changedStates(up.Upstreams),
		Loads: sub.filterLoads(up.Loads), Waits: sub.filterWaits(up.Waits), HasWaits: up.HasWaits, ReportMs: up.ReportMs,
		Suspects: up.Suspects, Entries: up.Entries, Software: up.Software, HasSoftware: up.HasSoftware,
	}
	waits := sub.recordWaits(filtered)
	if len(filtered.Upstreams) == 0 && filtered.Loads == nil && len(filtered.Suspects) == 0 && !filtered.HasSoftware && !waits {
		return nil
	}
	return filtered
}

// recordWaits records the waits of a filtered update as sent, and reports whether they
// must be sent. An empty list is sent only after one that was not empty, to end its waits.
func (sub *subscription) recordWaits(filtered *wire.FleetUpdate) bool {
	if !filtered.HasWaits {
		return false
	}
	sentBefore := sub.waitsSent
	sub.waitsSent = len(filtered.Waits) > 0
	return sentBefore || sub.waitsSent
}
