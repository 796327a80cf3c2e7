package suspect

import "time"

// Time is the monotonic time since an arbitrary start.
type Time = time.Duration

// Incarnation is one start of an upstream.
type Incarnation struct {
	Upstream   string // id
	BornUnixMs int64  // start, Unix time in milliseconds
}

// Loss is the end of a run without an answer, on an incarnation that seems to have ended.
type Loss struct {
	Digest string // of the request, or of a part of its prompt
	Incarnation
}

// Suspicion is what the whole system knows about one request, or about one prompt part and so
// about all requests with that part.
type Suspicion struct {
	Digest string
	// Until is the end of the quarantine, during which the request must not run. Before and
	// after it the request may run, one attempt at a time; 0: it never was in quarantine.
	Until Time
	// ExplainedBy lists, for a prompt part, those that were lost on all the same incarnations.
	// A request that lacks one of them may run although the part is in quarantine.
	ExplainedBy []string
	// Cleared is set when the request is no longer suspect.
	Cleared bool
}
