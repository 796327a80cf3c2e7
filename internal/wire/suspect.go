// Package wire is the inner protocol: the messages between nodes, the commands of the
// replicated log and the records of the replicated state. Files named .pb.go are generated
// from the .proto files beside them.
package wire

import "strconv"

// SuspectKey names one incarnation of an upstream in a Suspect's list of upstreams. The
// replicated state writes it and the schedulers read it.
func SuspectKey(upstream string, incarnation uint64) string {
	return upstream + "@" + strconv.FormatUint(incarnation, 10)
}
