// Package fleet is the decision core of the acting coordinator. It tracks upstreams by
// their heartbeats, publishes changes to entries, and orders runners to load and unload
// models and adapters. The core does no I/O: events and the current time go in through
// Step, and actions come out.
package fleet

import (
	"time"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// Time is monotonic time since the start of the term.
type Time = time.Duration

// Event is an input of the core.
type Event interface{ isEvent() }

// Heard is a heartbeat of an upstream, or its notice that it leaves (UnknownIdentity is
// set).
type Heard struct{ State *wire.UpstreamState }

// EntryKnows carries the upstream states that an entry had when it attached.
type EntryKnows struct{ States []*wire.UpstreamState }

// EntryReport carries the demand and the loads of an entry that changed since its last
// report. A load without running requests has ended.
type EntryReport struct {
	Entry  string
	Demand []*wire.ModelDemand
	Loads  []*wire.UpstreamLoad
}

// EntryGone ends an entry's stream.
type EntryGone struct{ Entry string }

// RoutingChanged replaces the routing configuration.
type RoutingChanged struct{ Config *routing.Config }

// Reported is the result of reading a runner's report. Failed is set when there was no
// answer.
type Reported struct {
	Upstream string
	Born     int64 // start of the incarnation, Unix time in milliseconds
	Report   Report
	Failed   bool
}

// Report is a runner's description of its own state. It may be some hundred
// milliseconds old.
type Report struct {
	Models   []*wire.HeldModel
	Busy     bool            // an order on a model is being executed
	Sequence uint64          // orders accepted since the runner's start
	InMemory []string        // models whose weights are in the host's memory
	OnDisk   []string        // models whose weights are on the runner's disk
	Coming   []ComingAdapter // adapters being loaded; each occupies an adapter slot already
}

// ComingAdapter is an adapter that a runner is loading.
type ComingAdapter struct{ Model, Adapter string }

// Ordered is the result of sending an order.
type Ordered struct {
	Upstream string
	Born     int64 // start of the incarnation, Unix time in milliseconds
	Result   OrderResult
}

// OrderResult is what is known about an order that was sent.
type OrderResult int

// The results of an order.
const (
	OrderUnknown     OrderResult = iota // no answer: it may still be executed later
	OrderAccepted                       // it is being executed
	OrderHolds                          // the requested state has been reached
	OrderConflict                       // another order is being executed, or the sequence differs
	OrderFenced                         // a higher fencing token has been used
	OrderInvalid                        // the runner rejected the order as malformed or impossible
	OrderMisdirected                    // another incarnation serves the address
	OrderUnsent                         // no byte of it was written
)

// Tick lets the core check its timers.
type Tick struct{}

func (Heard) isEvent()          {}
func (EntryKnows) isEvent()     {}
func (EntryReport) isEvent()    {}
func (EntryGone) isEvent()      {}
func (RoutingChanged) isEvent() {}
func (Reported) isEvent()       {}
func (Ordered) isEvent()        {}
func (Tick) isEvent()           {}

// Action is an output of the core.
type Action interface{ isAction() }

// Publish sends the new state of an upstream to every attached entry.
type Publish struct{ State *wire.UpstreamState }

// PublishLoads sends to entries how many requests run on each upstream, summed over all
// entries.
type PublishLoads struct{ Loads *wire.FleetLoads }

// PublishWaits sends to entries when missing models are expected to be loaded.
type PublishWaits struct{ Waits []*wire.ModelWait }

// Send sends an order to a runner.
type Send struct {
	Upstream string
	Born     int64 // start of the incarnation, Unix time in milliseconds
	Address  string
	Order    Order
}

// Read requests a runner's report.
type Read struct {
	Upstream string
	Born     int64 // start of the incarnation, Unix time in milliseconds
	Address  string
}

// Stop ends the term: a higher fencing token has been used.
type Stop struct{}

func (Publish) isAction()      {}
func (PublishLoads) isAction() {}
func (PublishWaits) isAction() {}
func (Send) isAction()         {}
func (Read) isAction()         {}
func (Stop) isAction()         {}

// Order changes what a runner holds. The runner executes it only if it has accepted
// exactly the expected number of orders, so that a delayed order can't follow a newer
// one.
type Order struct {
	Unload   bool
	Model    string
	Adapter  string // empty for a model
	Expected uint64 // orders that the runner must have accepted since its start
	Reason   string
}

// Settings are the parameters of the core.
type Settings struct {
	// SuspectAfter is the time without a heartbeat after which entries avoid an
	// upstream: three missed heartbeats.
	SuspectAfter time.Duration
	// ForgetAfter is the time without a heartbeat after which an upstream is treated as
	// gone.
	ForgetAfter time.Duration
	// TombstoneFor is how long a gone incarnation is remembered, so that a late
	// heartbeat does not bring it back.
	TombstoneFor time.Duration
	// ReadRetry is the shortest time between two reads of a runner's report. Reports
	// lag by some hundred milliseconds, and each one costs the runner.
	ReadRetry time.Duration
	// ReportLag is the largest age of a report. A report with a lower sequence than
	// counted here is ignored as outdated until the last accepted order is older than
	// this.
	ReportLag time.Duration
	// AnswerPatience is how long an adapter load may go unanswered before another
	// runner gets the order too: a few round trips between zones. A lost answer is
	// detected only after 800 ms, and the order may be executed much later.
	AnswerPatience time.Duration
	// OrderSlack is added to the expected time of an order before its execution is
	// checked.
	OrderSlack time.Duration
	// LoadsInterval is the shortest time between two publications of loads.
	LoadsInterval time.Duration
	// LoadsPerEntry is a lower bound of that time, multiplied by the number of attached
	// entries.
	LoadsPerEntry time.Duration
	// PlanInterval is the shortest time between two plans, so that many reports share
	// one.
	PlanInterval time.Duration
	// PlanPerRunner is added to that time for each upstream: a plan takes about 12 µs
	// for each of 140 upstreams (BenchmarkPlan), which this limits to a few hundredths
	// of a core.
	PlanPerRunner time.Duration
	// StoreConcurrency is the number of concurrent loads that the weight store serves
	// at full speed.
	StoreConcurrency int
	// AdapterConcurrency is the number of concurrent adapter loads over all runners.
	AdapterConcurrency int
	// AdapterTime is the expected time of an adapter load.
	AdapterTime time.Duration
	// AdapterImbalance is the excess of running requests over another runner of the
	// model that each runner with an adapter must have before the adapter is loaded
	// there too.
	AdapterImbalance int
	// CeilingWindow is the window over which the rate of loads from the store is
	// limited.
	CeilingWindow time.Duration
	// RequestsPerReplica is the number of running requests on each runner of a model
	// above which the model gets another replica.
	RequestsPerReplica int
	// ScaleInterval is the shortest time between two added replicas of a model.
	ScaleInterval time.Duration
	// RecentUse is the time after its last request during which a model costs more to
	// evict.
	RecentUse time.Duration
	// RateHalfLife is the half-life of a model's request rate.
	RateHalfLife time.Duration
	// Prefetch enables loading models whose weights are on no runner, and more copies
	// of busy ones, while the store has capacity to spare.
	Prefetch bool
}

// DefaultSettings returns the settings that production uses.
func DefaultSettings() Settings {
	return Settings{
		SuspectAfter:       4 * time.Second,
		ForgetAfter:        20 * time.Second,
		TombstoneFor:       60 * time.Second,
		ReadRetry:          400 * time.Millisecond,
		ReportLag:          1500 * time.Millisecond,
		AnswerPatience:     150 * time.Millisecond,
		OrderSlack:         300 * time.Millisecond,
		LoadsInterval:      50 * time.Millisecond,
		LoadsPerEntry:      500 * time.Microsecond,
		PlanInterval:       10 * time.Millisecond,
		PlanPerRunner:      300 * time.Microsecond,
		StoreConcurrency:   4,
		AdapterConcurrency: 32,
		AdapterTime:        25 * time.Millisecond,
		AdapterImbalance:   3,
		CeilingWindow:      5 * time.Second,
		RequestsPerReplica: 4,
		ScaleInterval:      time.Second,
		RecentUse:          1500 * time.Millisecond,
		RateHalfLife:       5 * time.Second,
		Prefetch:           true,
	}
}

var orderResults = [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "invalid", "misdirected", "unsent"}

// String returns the result's name in logs and metrics.
func (r OrderResult) String() string { return orderResults[r] }
