package routing

import (
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table finds the route of a request. It is immutable and safe for concurrent use.
type Table struct {
	Config *Config
	hosts  map[string][]*Route // by lower-case host; longest prefix first
	keys   map[KeyDigest]*Organisation
}

// NewTable returns the table of a validated configuration.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}, keys: map[KeyDigest]*Organisation{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, digest := range o.KeyDigests {
			t.keys[digest] = o
		}
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of a host with the longest prefix of path, nil if there is none.
// The host may have a port; its case does not matter.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PickService selects a service of the split by hashing key, in proportion to the weights.
// The same key always selects the same service. The route must be valid: with weights that
// add up to 0, PickService panics.
func (r *Route) PickService(key string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	sum := uint64(0)
	for _, s := range r.Split {
		sum += uint64(s.Weight)
	}
	point := xxhash.Sum64String(key) % sum
	for _, s := range r.Split {
		if point < uint64(s.Weight) {
			return s.Service
		}
		point -= uint64(s.Weight)
	}
	return r.Split[len(r.Split)-1].Service
}
