// Package grant assigns the slots of upstreams to waiting attempts and refuses early those
// that can't be served in time. The core does no I/O: events and the current time enter
// through Step, which returns the resulting actions.
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

// SlotRequest requests an upstream slot for one attempt of a request.
type SlotRequest struct {
	Attempt      string
	Request      string
	Entry        string
	Caller       string
	Model        string // empty for a plain service
	Adapter      string
	Service      string // empty for a model
	Class        wire.Class
	Deadline     Time // when the caller stops waiting
	PromptTokens int
	MaxTokens    int // requested length in tokens; 0: unknown
	BodyDigest   string
	PrefixHash   string
	Exclude      []string // ids of upstreams that must not be used
	Hedge        bool     // an additional attempt beside a running one
}

// Cancel withdraws a waiting attempt. A granted attempt needs a Release instead.
type Cancel struct{ Attempt string }

// Release returns an attempt's slot and reports how the attempt went.
type Release struct {
	Attempt    string
	Outcome    wire.Outcome
	FirstToken time.Duration // from the start to the first token; 0: no token was received
	MaxGap     time.Duration // longest time between two tokens
	Duration   time.Duration
	Tokens     int
}

// Progress reports that a running attempt is slow. An entry sends it when the first token
// is late and when the tokens come much more slowly than before.
type Progress struct {
	Attempt string
	Waited  time.Duration // time spent waiting for the next token
	Gap     time.Duration // mean time between the last tokens; 0: no token was received
}

// UpstreamState replaces the known state of one upstream.
type UpstreamState struct {
	ID            string
	Incarnation   uint64
	Zone          string
	Address       string
	Service       string // empty for a runner
	Slots         int
	Leaving       bool
	ChecksFencing bool
	// Ready lists the models whose loads are complete and that may be used.
	Ready []Ready
	// ReportedRunning is the number of running attempts in the upstream's last load
	// report, which lags behind.
	ReportedRunning int
	// MaxPerSecond is the number of requests a second that the upstream takes; nil: any number.
	MaxPerSecond *float64
}

// Ready is one model, with its adapters, that an upstream can run now.
type Ready struct {
	Model    string
	Version  string
	Adapters map[string]string // adapter name -> version
}

// UpstreamGone ends an incarnation. Attempts running on it are lost.
type UpstreamGone struct {
	ID          string
	Incarnation uint64
}

// UpstreamAlive reports that an incarnation has answered a state read that was sent at AsOf.
type UpstreamAlive struct {
	ID          string
	Incarnation uint64
	AsOf        Time
}

// PrefixEvent is one prompt-cache event of an upstream. Number counts the upstream's
// events, so that a gap is noticed.
type PrefixEvent struct {
	Upstream string
	Number   uint64
	Prefix   string
	Evicted  bool
}

// EntryHello opens or reopens an entry's session. Held lists the grants that the entry
// holds.
type EntryHello struct {
	Entry string
	Held  []HeldGrant
}

// HeldGrant is a running attempt that its entry reports to a new scheduler.
type HeldGrant struct {
	Attempt        string
	Upstream       string
	Incarnation    uint64
	Model          string
	Adapter        string
	Class          wire.Class
	BodyDigest     string
	ExpectedTokens int // length of the whole answer, in tokens
	// Cut reports that the attempt's answer broke off, possibly because the upstream
	// failed. An entry goes on reporting such attempts for Settings.CutWindow.
	Cut bool
}

// EntryGone ends an entry's session. Its waiting attempts are dropped. The slots of its
// running attempts are held until those attempts must have ended.
type EntryGone struct{ Entry string }

// SpecChanged replaces the spec of the applied file.
type SpecChanged struct{ Spec *wire.Spec }

// SuspectsChanged replaces the replicated list of bodies that were running when upstreams
// failed.
type SuspectsChanged struct{ Suspects []*wire.Suspect }

// Drain refuses all waiting attempts and all later ones.
type Drain struct{}

// Tick advances the time: deadlines, held slots and probes that are due are processed.
type Tick struct{}

func (SlotRequest) isEvent()     {}
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

// Grant assigns one slot of an upstream to an attempt.
type Grant struct {
	Entry          string
	Attempt        string
	Upstream       string
	Incarnation    uint64
	Address        string
	UseBy          time.Duration // time left for writing the first byte
	ModelVersion   string        // of the loaded model
	AdapterVersion string
	HedgeAfter     time.Duration // delay before a hedge; 0: do not hedge
	ChecksFencing  bool
}

// Refuse ends an attempt that got no slot. Such an attempt has certainly not run.
type Refuse struct {
	Entry      string
	Attempt    string
	Kind       errkind.Kind
	Detail     string
	RetryAfter time.Duration
}

// ReportDeath reports that a body was running on an upstream when its incarnation ended. It
// is emitted once for each body and incarnation. The body gets no further grant until
// SuspectsChanged confirms the report.
type ReportDeath struct {
	BodyDigest  string
	Upstream    string
	Incarnation uint64
}

// ReportAnswer reports that an upstream answered a suspect body whole. Deaths lists the
// deaths known of it, as in wire.Suspect: they were not the body's doing.
type ReportAnswer struct {
	BodyDigest string
	Deaths     []string
}

func (Grant) isAction()        {}
func (Refuse) isAction()       {}
func (ReportDeath) isAction()  {}
func (ReportAnswer) isAction() {}

// Demand summarises the waiting and running attempts of one model or adapter for
// placement.
type Demand struct {
	Model         string
	Adapter       string
	Waiting       int
	Running       int
	OldestArrival Time          // arrival of the longest waiting attempt
	Deadline      Time          // earliest deadline among the waiting attempts
	Class         wire.Class    // most urgent class among the waiting attempts
	LastUsed      Time          // last arrival or release
	Rate          float64       // arrivals a second, exponentially decayed
	BurstInterval time.Duration // estimated time between bursts; 0: unknown
}
