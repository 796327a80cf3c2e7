package routing

import (
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table finds the route of a request. It is safe for concurrent use.
type Table struct {
	Config *Config
	hosts  map[string][]*Route // longest prefix first
}

// NewTable indexes a configuration that was checked.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route with the longest prefix that begins path, or nil.
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

// Pick draws a service of the split by the weights; the same key gives the same one.
func (r *Route) Pick(key string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	sum := uint64(0)
	for _, s := range r.Split {
		sum += uint64(s.Weight)
	}
	at := xxhash.Sum64String(key) % sum
	for _, s := range r.Split {
		if at < uint64(s.Weight) {
			return s.Service
		}
		at -= uint64(s.Weight)
	}
	return r.Split[len(r.Split)-1].Service
}
