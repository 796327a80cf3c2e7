package grant

import (
	"cmp"
	"slices"
	"strings"
)

// ModelUsage is the use of one model or adapter on one upstream. Placement uses it to choose
// what to unload.
type ModelUsage struct {
	Upstream string
	Model    string
	Adapter  string // empty: attempts without an adapter
	Running  int
	LastUsed Time // last start or end of an attempt
}

type usageKey struct{ model, adapter string }

// recordUse records an attempt that starts (1) or ends (-1).
func (u *upstream) recordUse(a *attempt, n int, now Time) {
	if a.req.Model == "" {
		return
	}
	key := usageKey{a.req.Model, a.req.Adapter}
	usage, ok := u.usages[key]
	if !ok {
		usage = &ModelUsage{Upstream: u.ID, Model: key.model, Adapter: key.adapter}
		u.usages[key] = usage
	}
	usage.Running += n
	usage.LastUsed = now
}

// dropUnusedUsages removes the records of models that are neither loaded nor running, so
// that their number stays bounded by what the upstream holds.
func (u *upstream) dropUnusedUsages() {
	for key, usage := range u.usages {
		if _, ready := u.ready[key.model]; !ready && usage.Running == 0 {
			delete(u.usages, key)
		}
	}
}

// Usage returns the usage of each model and adapter that has been used and is still loaded
// or running, sorted by upstream, model and adapter.
func (c *Core) Usage() []ModelUsage {
	var out []ModelUsage
	for _, u := range c.sortedUpstreams {
		for _, usage := range u.usages {
			out = append(out, *usage)
		}
	}
	slices.SortFunc(out, func(a, b ModelUsage) int {
		return cmp.Or(strings.Compare(a.Upstream, b.Upstream),
			strings.Compare(a.Model, b.Model), strings.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// ModelRunning returns the number of attempts that run on a model of an upstream, with or
// without an adapter.
func (c *Core) ModelRunning(upstream, model string) int {
	u, ok := c.upstreams[upstream]
	if !ok {
		return 0
	}
	n := 0
	for key, usage := range u.usages {
		if key.model == model {
			n += usage.Running
		}
	}
	return n
}

// AdapterRunning returns the number of attempts that run on one adapter of an upstream.
func (c *Core) AdapterRunning(upstream, model, adapter string) int {
	u, ok := c.upstreams[upstream]
	if !ok {
		return 0
	}
	usage, ok := u.usages[usageKey{model, adapter}]
	if !ok {
		return 0
	}
	return usage.Running
}
