// Package grant decides which waiting request gets which upstream's slot, and
// refuses in time what can't be served. The core has no I/O: events and the time go
// in through Step, actions come out.
package grant

import (
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// Time is the core's clock: monotonic time since the scheduler's start.
type Time = time.Duration

// Event is one input of the core.
type Event interface{ isEvent() }

// Ask enters one attempt of a request.
type Ask struct {
	Attempt      string
	Request      string
	Entry        string
	Caller       string
	Model        string // empty for a plain service
	Adapter      string
	Service      string // empty for a model
	Class        wire.Class
	Deadline     Time // the point in time at which the caller gives up
	PromptTokens int
	MaxTokens    int // asked length; 0 when unknown
	BodyDigest   string
	PrefixHash   string
	Exclude      []string // upstreams that shall not be used
	Hedge        bool     // a second attempt beside a running one
}

// Cancel takes back an ask that still waits; a granted one needs a Release.
type Cancel struct{ Attempt string }

// Release gives a slot back with what was observed.
type Release struct {
	Attempt    string
	Outcome    wire.Outcome
	FirstToken time.Duration // 0: none came
	MaxGap     time.Duration
	Duration   time.Duration
	Tokens     int
}

// Progress tells that a running attempt is late: it waits for its next token since
// Waited, or its last tokens came Gap apart. An entry sends it when the first token is
// late, and when tokens come much more slowly than before.
type Progress struct {
	Attempt string
	Waited  time.Duration
	Gap     time.Duration // mean time between the last tokens; 0: none has come
}

// UpstreamState replaces what is known of one upstream.
type UpstreamState struct {
	ID            string
	Incarnation   uint64
	Zone          string
	Address       string
	Service       string // empty for a runner
	Slots         int
	Leaving       bool
	ChecksFencing bool
	// Ready holds what is settled as loaded and may be used.
	Ready []Ready
	// ReportedRunning is the upstream's own late load report.
	ReportedRunning int
}

// Ready is one model, with its adapters, that an upstream can run now.
type Ready struct {
	Model    string
	Version  string
	Adapters map[string]string // adapter name -> version
}

// UpstreamGone ends an incarnation; running attempts on it are lost.
type UpstreamGone struct {
	ID          string
	Incarnation uint64
}

// UpstreamAlive tells that an incarnation was proved alive by an answer to a question
// asked at AsOf.
type UpstreamAlive struct {
	ID          string
	Incarnation uint64
	AsOf        Time
}

// PrefixEvent passes on one cache event of an upstream.
type PrefixEvent struct {
	Upstream string
	Number   uint64
	Prefix   string
	Evicted  bool
}

// EntryHello opens or reopens an entry's session with the grants that it holds.
type EntryHello struct {
	Entry string
	Held  []HeldGrant
}

// HeldGrant is a running attempt reported by its entry after a change of scheduler.
type HeldGrant struct {
	Attempt     string
	Upstream    string
	Incarnation uint64
	Model       string
	Adapter     string
	Class       wire.Class
	BodyDigest  string
	Expected    int // tokens
	// Cut tells that the attempt has ended, cut off in mid-answer, and that the upstream
	// may have died of it. An entry reports such attempts for Settings.DoubtFor.
	Cut bool
}

// EntryGone ends an entry's session: what it waited for is dropped, and the slots of
// its running attempts are held until their use-by or longest life has passed.
type EntryGone struct{ Entry string }

// SpecChanged replaces the applied spec.
type SpecChanged struct{ Spec *wire.Spec }

// SuspectsChanged replaces the bodies that were running when upstreams died.
type SuspectsChanged struct{ Suspects []*wire.Suspect }

// Drain refuses all that waits and all that comes.
type Drain struct{}

// Tick lets time pass: deadlines, use-bys and probes are looked at.
type Tick struct{}

func (Ask) isEvent()             {}
func (Cancel) isEvent()          {}
func (Release) isEvent()         {}
func (Progress) isEvent()        {}
func (UpstreamState) isEvent()   {}
func (UpstreamGone) isEvent()    {}
func (UpstreamAlive) isEvent()   {}
func (PrefixEvent) isEvent()     {}
func (EntryHello) isEvent()      {}
func (EntryGone) isEvent()       {}
func (SpecChanged) isEvent()     {}
func (SuspectsChanged) isEvent() {}
func (Drain) isEvent()           {}
func (Tick) isEvent()            {}

// Action is one output of the core.
type Action interface{ isAction() }

// Grant gives an attempt one slot of an upstream.
type Grant struct {
	Entry          string
	Attempt        string
	Upstream       string
	Incarnation    uint64
	Address        string
	UseBy          time.Duration // time left in which the first byte must be written
	Version        string        // of the model
	AdapterVersion string
	HedgeAfter     time.Duration // 0: a hedge does not pay
	ChecksFencing  bool
}

// Refuse ends an attempt that got no slot: it provably did not run.
type Refuse struct {
	Entry      string
	Attempt    string
	Kind       errkind.Kind
	Detail     string
	RetryAfter time.Duration
}

// Death tells, once for each incarnation, that a body was running on an upstream when its incarnation ended.
// Until SuspectsChanged confirms it, the body gets no further grant.
type Death struct {
	BodyDigest  string
	Upstream    string
	Incarnation uint64
}

func (Grant) isAction()  {}
func (Refuse) isAction() {}
func (Death) isAction()  {}

// Demand is what waits and runs for one model or adapter; placement reads it.
type Demand struct {
	Model    string
	Adapter  string
	Waiting  int
	Running  int
	Oldest   Time          // when the longest waiting ask came
	Deadline Time          // earliest deadline waiting
	Class    wire.Class    // most urgent class waiting
	LastUsed Time          // last ask or release
	Rate     float64       // asks a second, decayed
	Interval time.Duration // learnt time between bursts; 0: unknown
}
