// Package suspect recognizes requests that bring down the upstreams that run them.
package suspect

import (
	"crypto/sha256"
	"encoding/hex"
)

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
