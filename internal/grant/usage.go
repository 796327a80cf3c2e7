package grant

import (
	"cmp"
	"slices"
	"strings"
)

// Use tells how one model or adapter is used on one upstream; placement reads it
// before it moves anything.
type Use struct {
	Upstream string
	Model    string
	Adapter  string // empty for attempts without one
	Running  int
	Last     Time // last begin or end of an attempt
}

type useKey struct{ model, adapter string }

func (u *upstream) used(a *attempt, change int, now Time) {
	if a.ask.Model == "" {
		return
	}
	key := useKey{a.ask.Model, a.ask.Adapter}
	use, ok := u.uses[key]
	if !ok {
		use = &Use{Upstream: u.ID, Model: key.model, Adapter: key.adapter}
		u.uses[key] = use
	}
	use.Running += change
	use.Last = now
}

// forgetUses drops what is neither loaded nor running, so that the records stay
// bounded by what an upstream holds.
func (u *upstream) forgetUses() {
	for key, use := range u.uses {
		if _, ready := u.ready[key.model]; !ready && use.Running == 0 {
			delete(u.uses, key)
		}
	}
}

// Uses returns the use of everything loaded or running, sorted by upstream, model and
// adapter.
func (c *Core) Uses() []Use {
	var out []Use
	for _, u := range c.order {
		for _, use := range u.uses {
			out = append(out, *use)
		}
	}
	slices.SortFunc(out, func(a, b Use) int {
		return cmp.Or(strings.Compare(a.Upstream, b.Upstream),
			strings.Compare(a.Model, b.Model), strings.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// ModelRunning returns the attempts that run on a model of an upstream, with any
// adapter or none.
func (c *Core) ModelRunning(upstream, model string) int {
	u, ok := c.upstreams[upstream]
	if !ok {
		return 0
	}
	n := 0
	for key, use := range u.uses {
		if key.model == model {
			n += use.Running
		}
	}
	return n
}

// AdapterRunning returns the attempts that run on one adapter of an upstream.
func (c *Core) AdapterRunning(upstream, model, adapter string) int {
	u, ok := c.upstreams[upstream]
	if !ok {
		return 0
	}
	use, ok := u.uses[useKey{model, adapter}]
	if !ok {
		return 0
	}
	return use.Running
}
