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

// SlotRequest wants one upstream for one attempt of a request.
type SlotRequest struct {
	ID           uint64
	Service      string
	Model        string // empty for a plain service
	Adapter      string
	Priority     int // 0 is the most urgent
	PromptTokens int // tokens to read
	OutputTokens int // tokens to generate, as expected
	// PrefixHash names the shared part of the prompt; 0: none. Shared is its tokens.
	PrefixHash   uint64
	PrefixTokens int
	Deadline     Time
	MinServeTime time.Duration   // shortest time in which an upstream could answer
	Exclude      map[string]bool // upstreams that this request shall not use again
}

// Target is an upstream that takes one attempt.
type Target struct {
	ID           string
	BornUnixMs   int64
	Address      string
	Zone         string
	ModelVersion uint64 // version of the model's weights
}

// Decision ends the wait of an ask: a target, or a refusal.
type Decision struct {
	RequestID  uint64
	Target     *Target
	Kind       errkind.Kind // of a refusal
	Detail     string
	RetryAfter time.Duration
}

// Outcome is how an attempt ended, as far as it speaks of the upstream.
type Outcome int

// The outcomes of an attempt.
const (
	Served         Outcome = iota // it answered
	Failed                        // it answered with a failure of its own
	Refused                       // it refused before running: full, or its time was up
	Misdirected                   // it does not hold the model or is another incarnation
	Unreachable                   // no connection, or silence
	ConnectionLost                // the connection broke in the middle
	Cancelled                     // the caller left, or the entry gave up
)

// Settings are the parameters of the core.
type Settings struct {
	// TokenDelayPerRequest is what one more request in the batch costs another one, for each
	// token that it generates.
	TokenDelayPerRequest time.Duration
	// PrefillPerToken is the time to read one token of a prompt.
	PrefillPerToken time.Duration
	// CrossZoneCost is the cost of an upstream in another availability zone: a round trip, and
	// the price of the bytes, which is worth some waiting.
	CrossZoneCost time.Duration
	// PlainRequestCost is the cost of one request that runs on a plain service already.
	PlainRequestCost time.Duration
	// SoftMaxRunning is the number of requests on a runner beyond which its streams pause for too
	// long; SoftMaxWait is how long a request waits for a runner below it.
	SoftMaxRunning int
	SoftMaxWait    time.Duration
	// CostJitter is the longest random addition to an upstream's cost. Entries see each other's
	// requests late; without it all would choose the same upstream meanwhile.
	CostJitter time.Duration
	// StaleLoadsInterval is the time between two publications of loads from which an upstream is
	// chosen among two at random.
	StaleLoadsInterval time.Duration
	// MaxKVShare is the share of a runner's memory for tokens that requests may fill.
	MaxKVShare float64
	// InitialBackoff and MaxBackoff bound how long an upstream is avoided after failures in a
	// row.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// NoUpstreamWait is how long a request waits for a service that has no upstream.
	NoUpstreamWait time.Duration
	// DeadlineSlack is what a request's deadline must leave beyond an estimated wait.
	DeadlineSlack time.Duration
	// MaxWaiting bounds the requests that wait at this entry.
	MaxWaiting int
}

// DefaultSettings fit the engines of today's platform.
func DefaultSettings() Settings {
	return Settings{
		TokenDelayPerRequest: 40 * time.Microsecond,
		PrefillPerToken:      45 * time.Microsecond,
		CrossZoneCost:        4 * time.Millisecond,
		PlainRequestCost:     40 * time.Millisecond,
		SoftMaxRunning:       11,
		SoftMaxWait:          400 * time.Millisecond,
		CostJitter:           15 * time.Millisecond,
		StaleLoadsInterval:   150 * time.Millisecond,
		MaxKVShare:           0.9,
		InitialBackoff:       500 * time.Millisecond,
		MaxBackoff:           4 * time.Second,
		NoUpstreamWait:       time.Second,
		DeadlineSlack:        500 * time.Millisecond,
		MaxWaiting:           1024,
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
	if s := v.config.FindService(service); s != nil {
		return s.Engine
	}
	return nil
}

// Update is one change of the fleet.
type Update = wire.FleetUpdate
