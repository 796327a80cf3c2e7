// Package suspect recognizes requests that bring down the upstreams that run them.
package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// partDigestPrefix begins the digests of prompt parts, so that they can be told from those of
// requests wherever digests are stored. It is "part" in hex.
const partDigestPrefix = "70617274"

// PartDigest returns the digest of a prompt part, whichever requests it occurs in.
func PartDigest(id string) string {
	return partDigestPrefix + Digest([]byte(id))[len(partDigestPrefix):]
}

func isPart(digest string) bool { return strings.HasPrefix(digest, partDigestPrefix) }

// Digest returns the hex SHA-256 of the parts that identify a request, separated by zero
// bytes.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for i, p := range parts {
		if i > 0 {
			h.Write([]byte{0})
		}
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}
