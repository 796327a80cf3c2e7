package suspect

import "time"

// Time is the monotonic time since an arbitrary start.
type Time = time.Duration

// Incarnation is one start of an upstream.
type Incarnation struct {
	Upstream   string // id
	BornUnixMs int64  // start, Unix time in milliseconds
}

// LostRun is a run that ended without an answer, on an incarnation that seems to have ended.
type LostRun struct {
	Incarnation
	Traits   []Trait // of the request, the whole first
	Software string  // version of the upstream's software
	// Inferred is set if no connection showed the end: the run was given up without output, or its
	// incarnation was replaced. Only the end of the incarnation confirms it.
	Inferred bool
	// Ended is set if the entry knows that the incarnation has ended.
	Ended bool
	// Ran is how long the run had gone on when its end was noticed or it was given up; 0: not known.
	Ran time.Duration
}

// End is the end of an incarnation.
type End struct {
	Incarnation
	LastHeard Time // arrival of its last heartbeat
	Latest    Time // when it was no longer alive
	Announced bool // it had announced its end, so that no run is to blame
}

// LossReport is a lost run with its age at the time of the report.
type LossReport struct {
	LostRun
	Age time.Duration // since the end was noticed
	// Span is how long before that the upstream may have ended: since it was last seen alive. 0: the
	// end was noticed at once; if it was inferred, nothing was seen of the upstream.
	Span time.Duration
}

// AnswerReport tells when requests with a suspect trait were answered with success.
type AnswerReport struct {
	Trait   Trait
	Answers []AnswerAge
}

// AnswerAge is an answer of an incarnation with its age at the time of the report.
type AnswerAge struct {
	Incarnation
	Age time.Duration
}

// Loss is an incarnation that ended while it began to run a request with a trait.
type Loss struct {
	Trait Trait
	Incarnation
}

// Suspicion is what the whole system knows about the runs with one trait.
type Suspicion struct {
	Trait Trait
	// Until is the end of the quarantine, during which no request with the trait must run. Before
	// and after it a request may run, one attempt at a time; 0: the trait was never in quarantine.
	Until Time
	// Cleared is set when the trait is no longer suspect.
	Cleared bool
}
