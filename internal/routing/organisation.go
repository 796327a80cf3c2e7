package routing

import (
	"crypto/sha256"

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
