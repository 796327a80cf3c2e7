// Package dispatch decides at an entry which upstream runs a request, which requests
// wait and which are refused. It works on the fleet as the coordinator last published
// it, so that an entry goes on serving while there is no coordinator. The core has no
// I/O: events and the time go in, decisions come out.
package dispatch

import (
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// Time is monotonic time since the entry's start.
type Time = time.Duration

// Ask wants one upstream for one attempt of a request.
type Ask struct {
	ID       uint64
	Service  string
	Model    string // empty for a plain service
	Adapter  string
	Priority int // 0 is the most urgent
	Prompt   int // tokens to read
	Output   int // tokens to generate, as expected
	// Affinity names the shared part of the prompt; 0: none. Shared is its tokens.
	Affinity uint64
	Shared   int
	Deadline Time
	MinServe time.Duration   // shortest time in which an upstream could answer
	Exclude  map[string]bool // upstreams that this request shall not use again
}

// Target is an upstream that takes one attempt.
type Target struct {
	ID       string
	Born     int64
	Address  string
	Zone     string
	Versions uint64 // version of the model's weights
}

// Decision ends the wait of an ask: a target, or a refusal.
type Decision struct {
	Ask        uint64
	Target     *Target
	Kind       errkind.Kind // of a refusal
	Detail     string
	RetryAfter time.Duration
}

// Outcome is how an attempt ended, as far as it speaks of the upstream.
type Outcome int

// The outcomes of an attempt.
const (
	Served      Outcome = iota // it answered
	Failed                     // it answered with a failure of its own
	Refused                    // it refused before running: full, or its time was up
	NotHeld                    // it does not hold the model or is another incarnation
	Unreachable                // no connection, or silence
	Broken                     // the connection broke in the middle
	Left                       // the caller left, or the entry gave up
)

// Settings are the parameters of the core.
type Settings struct {
	// StepPerRequest is what one more request in the batch costs another one, for each
	// token that it generates.
	StepPerRequest time.Duration
	// PrefillPerToken is the time to read one token of a prompt.
	PrefillPerToken time.Duration
	// OtherZone is the cost of an upstream in another availability zone: a round trip, and
	// the price of the bytes, which is worth some waiting.
	OtherZone time.Duration
	// ServiceTime is the cost of one request that runs on a plain service already.
	ServiceTime time.Duration
	// Comfort is the number of requests on a runner beyond which its streams pause for too
	// long; ComfortWait is how long a request waits for a runner below it.
	Comfort     int
	ComfortWait time.Duration
	// Spread is the longest random addition to an upstream's cost. Entries see each other's
	// requests late; without it all would choose the same upstream meanwhile.
	Spread time.Duration
	// StaleLoads is the time between two publications of loads from which an upstream is
	// chosen among two at random.
	StaleLoads time.Duration
	// KVShare is the share of a runner's memory for tokens that requests may fill.
	KVShare float64
	// AvoidFirst and AvoidMost bound how long an upstream is avoided after failures in a
	// row.
	AvoidFirst time.Duration
	AvoidMost  time.Duration
	// NoUpstreamWait is how long a request waits for a service that has no upstream.
	NoUpstreamWait time.Duration
	// WaitSlack is what a request's deadline must leave beyond an estimated wait.
	WaitSlack time.Duration
	// MaxWaiting bounds the requests that wait at this entry.
	MaxWaiting int
}

// DefaultSettings fit the engines of today's platform.
func DefaultSettings() Settings {
	return Settings{
		StepPerRequest:  40 * time.Microsecond,
		PrefillPerToken: 45 * time.Microsecond,
		OtherZone:       4 * time.Millisecond,
		ServiceTime:     40 * time.Millisecond,
		Comfort:         11,
		ComfortWait:     400 * time.Millisecond,
		Spread:          15 * time.Millisecond,
		StaleLoads:      150 * time.Millisecond,
		KVShare:         0.9,
		AvoidFirst:      500 * time.Millisecond,
		AvoidMost:       4 * time.Second,
		NoUpstreamWait:  time.Second,
		WaitSlack:       500 * time.Millisecond,
		MaxWaiting:      1024,
	}
}

// Options are the inputs of New.
type Options struct {
	Settings Settings
	Zone     string // availability zone of the entry
	Seed     uint64 // of the core's only source of randomness
}

// view is what the core reads of the configuration.
type view struct{ config *routing.Config }

func (v view) engine(service string) *routing.Engine {
	if v.config == nil {
		return nil
	}
	if s := v.config.Find(service); s != nil {
		return s.Engine
	}
	return nil
}

// Update is one change of the fleet.
type Update = wire.FleetUpdate
