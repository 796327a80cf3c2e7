// Package dispatch assigns an entry's requests to upstreams, queues those that have to
// wait and refuses those that can't be served in time. It uses the state of the fleet as
// last published by the coordinator, so that an entry keeps serving while there is no
// coordinator. The core does no I/O: it takes events and the time and returns decisions.
package dispatch

import (
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// Time is the monotonic time since the entry's start.
type Time = time.Duration

// SlotRequest is a request for a slot of an upstream, for one attempt of a caller's
// request.
type SlotRequest struct {
	ID       uint64
	Service  string
	Model    string // empty for a plain service
	Adapter  string
	Priority int // 0 is the most urgent
	// Organisation is whose request it is; empty: nobody's that is known. Those of one priority are served in turn.
	Organisation string
	PromptTokens int // length of the prompt
	OutputTokens int // expected length of the output
	OutputBound  int // bound on its length; 0: none
	// Hinted is set if OutputTokens is the caller's estimate. How right it is is learned by Route.
	Hinted bool
	Route  string
	// Resumed is set if it goes on with a stream, so that the answer is only a part.
	Resumed bool
	// Streams is set if the answer is a stream of events. RecordEvent is then called for each.
	Streams bool
	// GapTarget and LatencyTarget are the route's objectives for the longest pause between two events
	// and for the first event; 0: none.
	GapTarget     time.Duration
	LatencyTarget time.Duration
	// PrefixHash identifies the part of the prompt that is shared with other requests; 0
	// if there is none.
	PrefixHash uint64
	// PrefixTokens is the number of tokens of that part.
	PrefixTokens int
	Deadline     Time
	MinServeTime time.Duration   // shortest time in which an upstream is expected to answer
	Exclude      map[string]bool // ids of upstreams that must not be used
	// Software is the version of the upstream's software that the request must run on, if
	// NeedsSoftware is set.
	Software      string
	NeedsSoftware bool
	// ExcludeSoftware holds the versions of software on which it must not run.
	ExcludeSoftware map[string]bool
}

// Target is the upstream that an attempt is assigned to.
type Target struct {
	ID           string
	BornUnixMs   int64 // start of its incarnation, Unix ms
	Address      string
	Zone         string
	ModelVersion uint64 // version of the loaded weights; 0 for a plain service
	Software     string // version of its software
	// ExpectedRun is the time until the end of a stream as predicted; 0 for other requests.
	ExpectedRun time.Duration
}

// Decision answers a request for a slot: with a target, or with a refusal if Target is
// nil.
type Decision struct {
	RequestID  uint64 // id of the request
	Target     *Target
	Kind       errkind.Kind  // of the refusal
	Detail     string        // of the refusal
	RetryAfter time.Duration // after a refusal, when to retry
}

// Outcome is the result of an attempt with regard to its upstream.
type Outcome int

// The outcomes of an attempt.
const (
	Served         Outcome = iota // the upstream answered
	Failed                        // the upstream answered with an error of its own
	Refused                       // the upstream refused before running: it was full, or the time was too short
	Misdirected                   // the upstream does not hold the model or is another incarnation
	Unreachable                   // nothing was sent, as when the connection was refused
	ConnectionLost                // the connection failed after some of the request was sent
	Cancelled                     // the caller disconnected, or the deadline passed
	Unused                        // nothing was sent, for a reason that concerns this request only
)

// Settings are the parameters of the core.
type Settings struct {
	// TokenDelayPerRequest is the delay that each other request in the batch adds to a
	// generated token.
	TokenDelayPerRequest time.Duration
	// PrefillPerToken is the time to read one token of a prompt.
	PrefillPerToken time.Duration
	// EventTime is the time between two events of a stream that has a runner to itself.
	EventTime time.Duration
	// TokensPerEvent is the number of tokens of an event. It, EventTime, PrefillPerToken and
	// TokenDelayPerRequest are where learning begins; each service has its own values after some streams.
	TokensPerEvent int
	// GapShare is the share of a route's target for gaps that prompts in prefill may take. The rest covers
	// errors of the learned times and prompts that other entries have sent since the last loads.
	GapShare float64
	// PaceInterval is the time between two reports of what was observed of runners' speed.
	PaceInterval time.Duration
	// CrossZoneCost is the cost of an upstream in another availability zone: a round trip
	// and the price of the traffic, expressed as a delay.
	CrossZoneCost time.Duration
	// PlainRequestCost is the cost of each request that already runs on a plain service.
	PlainRequestCost time.Duration
	// SoftMaxRunning is the number of requests on a runner above which the pauses in its
	// streams get too long. It holds for runners with up to ManySlots slots, and for requests
	// without a target for these pauses on any.
	SoftMaxRunning int
	// SoftMaxWait is how long a request waits for a runner with fewer requests than that
	// before it may use one with more.
	SoftMaxWait time.Duration
	// ManySlots is the number of slots above which a runner's limit is its slots, less
	// SlotReserve of them for SoftMaxWait. The reserve covers the requests that other entries
	// send between two updates of the loads. With 11 of 64 slots as the limit, requests
	// waited for SoftMaxWait at runners that were nearly idle.
	ManySlots int
	// SlotReserve is the share of such a runner's slots that is kept free.
	SlotReserve float64
	// CostJitter bounds the random part of an upstream's cost. Entries learn of each
	// other's requests with a delay; without jitter, all would choose the same upstream
	// meanwhile.
	CostJitter time.Duration
	// StaleLoadsInterval is the time between two updates of loads from which a request
	// chooses between two random upstreams only.
	StaleLoadsInterval time.Duration
	// MaxKVShare is the share of a runner's KV cache that requests may fill.
	MaxKVShare float64
	// InitialBackoff is an upstream's first back-off; it doubles with each further
	// consecutive failure.
	InitialBackoff time.Duration
	// MaxBackoff bounds the back-off.
	MaxBackoff time.Duration
	// NoUpstreamWait is how long a request waits while its service has no upstream, or
	// only draining ones.
	NoUpstreamWait time.Duration
	// MaxBlindWait is how long a request waits while no upstream can serve it and no estimate of
	// the coordinator says when one can: longer than a takeover of the coordinator takes.
	MaxBlindWait time.Duration
	// DeadlineSlack is the margin that a deadline must leave beyond the estimated wait for
	// the model and MinServeTime.
	DeadlineSlack time.Duration
	// MaxWaiting bounds the waiting requests of this entry.
	MaxWaiting int
}

// DefaultSettings returns settings that fit the platform's engines.
func DefaultSettings() Settings {
	return Settings{
		TokenDelayPerRequest: 40 * time.Microsecond,
		PrefillPerToken:      45 * time.Microsecond,
		EventTime:            40 * time.Millisecond,
		TokensPerEvent:       4,
		GapShare:             0.7,
		PaceInterval:         time.Second,
		CrossZoneCost:        4 * time.Millisecond,
		PlainRequestCost:     40 * time.Millisecond,
		SoftMaxRunning:       11,
		SoftMaxWait:          400 * time.Millisecond,
		ManySlots:            16,
		SlotReserve:          1.0 / 16,
		CostJitter:           15 * time.Millisecond,
		StaleLoadsInterval:   150 * time.Millisecond,
		MaxKVShare:           0.9,
		InitialBackoff:       500 * time.Millisecond,
		MaxBackoff:           4 * time.Second,
		NoUpstreamWait:       time.Second,
		MaxBlindWait:         5 * time.Second,
		DeadlineSlack:        500 * time.Millisecond,
		MaxWaiting:           1024,
	}
}

// Options configure New.
type Options struct {
	Settings Settings
	Zone     string // availability zone of the entry
	Seed     uint64 // of the core's random numbers
}

// configView looks up parts of the configuration, which may be nil.
type configView struct{ config *routing.Config }

// engine returns the engine of a service, nil for a plain or unknown service.
func (v configView) engine(service string) *routing.Engine {
	if v.config == nil {
		return nil
	}
	if s := v.config.FindService(service); s != nil {
		return s.Engine
	}
	return nil
}

// Update is an update of the fleet from the coordinator.
type Update = wire.FleetUpdate
