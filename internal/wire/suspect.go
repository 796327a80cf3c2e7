// Package wire is the internal protocol: the messages between nodes, the commands of the
// replicated log and the records of the replicated state. The .pb.go files are generated
// from the .proto files.
package wire

import "strconv"

// SuspectKey returns the key of an upstream's incarnation in the upstreams of a Suspect.
// The replicated state writes it and schedulers compare it, so its format must not change.
func SuspectKey(upstream string, incarnation uint64) string {
	return upstream + "@" + strconv.FormatUint(incarnation, 10)
}
