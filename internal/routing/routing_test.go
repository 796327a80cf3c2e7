package routing

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func validConfig() *Config {
	route := func(name, prefix string) Route {
		return Route{Name: name, Host: "a.example", Prefix: prefix, Kind: Safe, Timeout: time.Second,
			Split: []WeightedService{{Service: "s", Weight: 1}}}
	}
	return &Config{Version: 3, Services: []Service{{Name: "s"}, {Name: "t"}},
		Routes: []Route{route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")}}
}

func TestMatch_NestedPrefixes(t *testing.T) {
	is := is.New(t)
	table := NewTable(validConfig())
	is.Equal(table.Match("a.example", "/a/b/x").Name, "long")
	is.Equal(table.Match("A.Example:8080", "/a/x").Name, "short")
	is.Equal(table.Match("a.example", "/a"), nil) // the slash belongs to the prefix
	is.Equal(table.Match("b.example", "/a/x"), nil)
}

func TestValidate_InvalidField(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Config)
		want   string
	}{
		{"no version", func(c *Config) { c.Version = 0 }, "version"},
		{"unknown service", func(c *Config) { c.Routes[1].Split[0].Service = "x" }, "unknown service"},
		{"duplicate host and prefix", func(c *Config) { c.Routes[1].Prefix = "/a/" }, "host and prefix"},
		{"weights add up to 0", func(c *Config) { c.Routes[0].Split = []WeightedService{{"s", 0}, {"t", 0}} }, "weights"},
		{"negative weight", func(c *Config) { c.Routes[0].Split = []WeightedService{{"s", 2}, {"t", -1}} }, "below 0"},
		{"no timeout", func(c *Config) { c.Routes[2].Timeout = 0 }, "timeout"},
		{"unknown kind", func(c *Config) { c.Routes[2].Kind = 0 }, "kind"},
		{"prefix without slash", func(c *Config) { c.Routes[2].Prefix = "/c" }, "prefix"},
		{"duplicate service", func(c *Config) { c.Services[1].Name = "s" }, "twice"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := validConfig()
			is.NoErr(c.Validate())
			tt.change(c)
			err := c.Validate()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}

func TestPickService_WeightedSplit(t *testing.T) {
	is := is.New(t)
	r := Route{Split: []WeightedService{{"s", 90}, {"t", 10}}}
	counts := map[string]int{}
	for i := range 5000 {
		key := strings.Repeat("k", i%7) + time.Duration(i).String()
		is.Equal(r.PickService(key), r.PickService(key))
		counts[r.PickService(key)]++
	}
	is.True(counts["t"] > 350 && counts["t"] < 650)
}

func TestIdempotent_EachKind(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Safe}).Idempotent())
	is.True(!(&Route{Kind: Unsafe}).Idempotent())
	is.True(!(&Route{Kind: Stream}).Idempotent())
	is.True((&Route{Kind: Stream, Resumable: true}).Idempotent())
}
