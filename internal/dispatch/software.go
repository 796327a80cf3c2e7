package dispatch

import "slices"

// hasSoftware reports whether any upstream of the service that takes requests runs a version
// of the software.
func (c *Core) hasSoftware(service, software string) bool {
	return slices.ContainsFunc(c.upstreams, func(u *upstream) bool {
		return u.state.Service == service && u.state.Software == software && !c.isLeaving(u)
	})
}

// hasOtherSoftware reports whether any upstream of the service that takes requests runs another
// version of the software than those excluded.
func (c *Core) hasOtherSoftware(service string, excluded map[string]bool) bool {
	return slices.ContainsFunc(c.upstreams, func(u *upstream) bool {
		return u.state.Service == service && !excluded[u.state.Software] && !c.isLeaving(u)
	})
}

// OnlySoftware returns the version of the software that all upstreams of the service run, and
// false if there are several or none.
func (c *Core) OnlySoftware(service string) (software string, ok bool) {
	for _, u := range c.upstreams {
		switch {
		case u.state.Service != service:
		case ok && u.state.Software != software:
			return "", false
		default:
			software, ok = u.state.Software, true
		}
	}
	return software, ok
}

// SoftwareVersions returns the versions of the software of the upstreams that take requests for a
// model, sorted; for any request of the service if model is empty.
func (c *Core) SoftwareVersions(service, model string) []string {
	var out []string
	for _, u := range c.upstreams {
		if u.state.Service == service && !c.isLeaving(u) && (model == "" || u.models[model] != nil) &&
			!slices.Contains(out, u.state.Software) {
			out = append(out, u.state.Software)
		}
	}
	slices.Sort(out)
	return out
}
