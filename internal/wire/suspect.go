package wire

import "strconv"

// SuspectKey names one incarnation of an upstream in a Suspect's list of upstreams. The
// replicated state writes it and the schedulers read it.
func SuspectKey(upstream string, incarnation uint64) string {
	return upstream + "@" + strconv.FormatUint(incarnation, 10)
}
