package routing

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func organisationsConfig() *Config {
	c := validConfig()
	c.RequiresKey = true
	c.Organisations = []Organisation{
		{Name: "a", KeyDigests: []KeyDigest{DigestKey("key-a1"), DigestKey("key-a2")}, Quota: Quota{PerSecond: 5, Burst: 5}},
		{Name: "b c", KeyDigests: []KeyDigest{DigestKey("key-b")}},
	}
	return c
}

func TestValidate_InvalidOrganisation(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no name":               func(c *Config) { c.Organisations[1].Name = "" },
		"name used twice":       func(c *Config) { c.Organisations[1].Name = "a" },
		"line break in name":    func(c *Config) { c.Organisations[1].Name = "b\r\nX-Field: 1" },
		"blank around name":     func(c *Config) { c.Organisations[1].Name = "b " },
		"blank as name":         func(c *Config) { c.Organisations[1].Name = " " },
		"name beyond ASCII":     func(c *Config) { c.Organisations[1].Name = "bäckerei" },
		"shared key":            func(c *Config) { c.Organisations[1].KeyDigests[0] = DigestKey("key-a2") },
		"negative rate":         func(c *Config) { c.Organisations[0].Quota.PerSecond = -0.5 },
		"negative burst":        func(c *Config) { c.Organisations[0].Quota.Burst = -1 },
		"negative plain tokens": func(c *Config) { c.Organisations[0].Quota.PlainCost = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := organisationsConfig()
			is.NoErr(c.Validate())
			change(c)
			err := c.Validate()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), "organisations["))
		})
	}
}

func TestValidate_KeyTwiceInOneOrganisation(t *testing.T) {
	is := is.New(t)
	c := organisationsConfig()
	c.Organisations[0].KeyDigests[1] = DigestKey("key-a1")
	is.NoErr(c.Validate())
}

func TestAuthenticate_KnownAndUnknownKeys(t *testing.T) {
	is := is.New(t)
	table := NewTable(organisationsConfig())
	for key, want := range map[string]string{"key-a1": "a", "key-a2": "a", "key-b": "b c", "key-": "", "key-a": "", "key-a11": "", "KEY-A1": "", "": ""} {
		o, ok := table.Authenticate(key)
		is.Equal(ok, want != "")
		if ok {
			is.Equal(o.Name, want)
		}
	}
}

func TestValidKey_Characters(t *testing.T) {
	is := is.New(t)
	for _, key := range []string{"a", "!~", "asnmgkcuyj8pjbvk9m68", "a,b;c=\"d\"", strings.Repeat("k", 4096)} {
		is.True(ValidKey(key))
	}
	for _, key := range []string{"", " ", "a b", "a\tb", " a", "a ", "a\n", "a\x00", "a\x7f", "ä", "a\xff"} {
		is.True(!ValidKey(key))
	}
}
