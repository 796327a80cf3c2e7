// Package wire is the internal protocol: the messages between nodes, the commands of the
// replicated log and the records of the replicated state. The .pb.go files are generated
// from the .proto files.
package wire

import (
	"strconv"
	"strings"
)

// SuspectKey returns the key of an upstream's incarnation in the upstreams of a Suspect.
// The replicated state writes it and schedulers compare it, so its format must not change.
func SuspectKey(upstream string, incarnation uint64) string {
	return upstream + "@" + strconv.FormatUint(incarnation, 10)
}

// ParseSuspectKey splits a key of SuspectKey. The incarnation of any other text is 0.
func ParseSuspectKey(key string) (upstream string, incarnation uint64) {
	i := strings.LastIndexByte(key, '@')
	if i < 0 {
		return key, 0
	}
	incarnation, err := strconv.ParseUint(key[i+1:], 10, 64)
	if err != nil {
		return key, 0
	}
	return key[:i], incarnation
}
