package routing

import (
	"crypto/sha256"
	"strings"

	"github.com/pkg/errors"

	"gentiankeel/internal/ratelimit"
)

// Organisation is a group of callers that share keys, a priority and a quota.
type Organisation struct {
	Name       string
	KeyDigests []KeyDigest
	Priority   int // 0 is the most urgent; takes precedence over the route's
	Quota      Quota
}

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept, so that none can
// reach a log line or an error.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// ValidKey reports whether a key can be sent in a header: one or more visible ASCII characters.
func ValidKey(key string) bool {
	return key != "" && strings.IndexFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// validName reports whether a name can be the value of a header without being changed: visible ASCII
// characters, and blanks between them.
func validName(name string) bool {
	return strings.Trim(name, " ") == name && ValidKey(strings.ReplaceAll(name, " ", ""))
}

// validateOrganisations checks the organisations of the configuration. No error contains a key.
func (c *Config) validateOrganisations() error {
	names, holders := map[string]bool{}, map[KeyDigest]int{}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		switch {
		case o.Name == "":
			return errors.Errorf("organisations[%d]: no name", i)
		case !validName(o.Name):
			return errors.Errorf("organisations[%d]: the name can't be the value of a header", i)
		case names[o.Name]:
			return errors.Errorf("organisations[%d]: name %q is used twice", i, o.Name)
		case o.Quota.PerSecond < 0 || o.Quota.Burst < 0 || o.Quota.PlainCost < 0:
			return errors.Errorf("organisations[%d] %q: a rate, burst or cost is below 0", i, o.Name)
		}
		names[o.Name] = true
		for n, digest := range o.KeyDigests {
			if holder, taken := holders[digest]; taken && holder != i {
				return errors.Errorf("organisations[%d] %q: key %d is also a key of organisations[%d]", i, o.Name, n, holder)
			}
			holders[digest] = i
		}
	}
	return nil
}

// Quota bounds what the requests of an organisation use over all entries: a token bucket in units of
// tokens or requests.
type Quota struct {
	CountsTokens bool    // a unit is a token of prompt or output; false: a request
	PlainCost    int     // units of a request that names no tokens; valid if CountsTokens is set
	PerSecond    float64 // refill, in units a second
	Burst        float64 // units that may be saved up
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 || q.Burst > 0 }

// Quotas returns the limits of the organisations that have one, by name. A quota without a rate is none.
func (c *Config) Quotas() map[string]ratelimit.Quota {
	out := map[string]ratelimit.Quota{}
	for i := range c.Organisations {
		if o := &c.Organisations[i]; o.Quota.PerSecond > 0 {
			out[o.Name] = ratelimit.Quota{PerSecond: o.Quota.PerSecond, Burst: o.Quota.Burst}
		}
	}
	return out
}

// Cost returns the units of a request. hasTokens is set if the request names its tokens.
func (q Quota) Cost(tokens int, hasTokens bool) int {
	switch {
	case !q.CountsTokens:
		return 1
	case hasTokens:
		return tokens
	}
	return q.PlainCost
}

// Authenticate returns the organisation that holds a key, false if none does. The key is looked up by
// its digest, so the time that it takes does not depend on how much of a key is right.
func (t *Table) Authenticate(key string) (*Organisation, bool) {
	o, ok := t.keys[DigestKey(key)]
	return o, ok
}
