// Package fleet decides for the acting coordinator: it follows the upstreams by their
// heartbeats, tells entries what changed and orders runners to load and unload models
// and adapters. The core has no I/O: events and the time go in through Step, actions
// come out.
package fleet

import (
	"time"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// Time is monotonic time since the term's start.
type Time = time.Duration

// Event is one input of the core.
type Event interface{ isEvent() }

// Heard is a heartbeat, or the word of an upstream that it leaves.
type Heard struct{ State *wire.UpstreamState }

// EntryKnows is what an entry knew of the fleet when it attached.
type EntryKnows struct{ States []*wire.UpstreamState }

// EntryReport tells what an entry needs and uses, as far as it changed since its last
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

// Reported answers Read. Err is set when there is no answer.
type Reported struct {
	Upstream string
	Born     int64
	Report   Report
	Failed   bool
}

// Report is a runner's own account of itself. It may be some hundred milliseconds old.
type Report struct {
	Models   []*wire.HeldModel
	Busy     bool   // an order on a model is being carried out
	Sequence uint64 // orders accepted since the runner's start
	InMemory []string
	OnDisk   []string
	Coming   []ComingAdapter // adapters on their way: each takes a place already
}

// ComingAdapter is an adapter that a runner is loading.
type ComingAdapter struct{ Model, Adapter string }

// Ordered answers Send.
type Ordered struct {
	Upstream string
	Born     int64
	Result   OrderResult
}

// OrderResult is what is known of an order that was sent.
type OrderResult int

// The results of an order.
const (
	OrderUnknown     OrderResult = iota // no answer: it may be carried out later
	OrderAccepted                       // it is being carried out
	OrderHolds                          // what it asks for holds now
	OrderConflict                       // another order runs, or the sequence differs
	OrderFenced                         // a higher fencing token has been used
	OrderInvalid                        // the runner does not know such an order
	OrderMisdirected                    // another incarnation serves the address
	OrderUnsent                         // no byte of it was written
)

// Tick lets time pass.
type Tick struct{}

func (Heard) isEvent()          {}
func (EntryKnows) isEvent()     {}
func (EntryReport) isEvent()    {}
func (EntryGone) isEvent()      {}
func (RoutingChanged) isEvent() {}
func (Reported) isEvent()       {}
func (Ordered) isEvent()        {}
func (Tick) isEvent()           {}

// Action is one output of the core.
type Action interface{ isAction() }

// Publish tells every attached entry the new state of an upstream.
type Publish struct{ State *wire.UpstreamState }

// PublishLoads tells entries what runs on each upstream over all entries.
type PublishLoads struct{ Loads *wire.FleetLoads }

// PublishWaits tells entries when models that are not loaded will be.
type PublishWaits struct{ Waits []*wire.ModelWait }

// Send carries an order to a runner; Ordered answers it.
type Send struct {
	Upstream string
	Born     int64
	Address  string
	Order    Order
}

// Read asks a runner for its report; Reported answers it.
type Read struct {
	Upstream string
	Born     int64
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

// Order changes what a runner holds. It is carried out only while the runner has
// accepted exactly Expected orders, so that a late one can't follow a newer one.
type Order struct {
	Unload   bool
	Model    string
	Adapter  string // empty: the model itself
	Expected uint64
	Reason   string
}

// Settings are the parameters of the core.
type Settings struct {
	// SuspectAfter is the silence after which entries avoid an upstream: three missed
	// heartbeats.
	SuspectAfter time.Duration
	// ForgetAfter is the silence after which an upstream counts as gone.
	ForgetAfter time.Duration
	// TombstoneFor is how long a gone incarnation is remembered, so that a late heartbeat
	// does not bring it back.
	TombstoneFor time.Duration
	// ReadRetry is the pause between two reports read from a runner. Reports lag by some
	// hundred milliseconds, and each one costs the runner.
	ReadRetry time.Duration
	// ReportLag is how old a report can be: one that knows of fewer orders than were counted
	// here is believed once the last order is older.
	ReportLag time.Duration
	// AnswerPatience is how long an adapter's load may be without an answer before another
	// runner is asked too: a few round trips between zones. A lost answer is given up only
	// after 800 ms, and the order may be carried out much later.
	AnswerPatience time.Duration
	// OrderSlack is added to the time that an order should take before it is looked at.
	OrderSlack time.Duration
	// LoadsInterval is the pause between two publications of loads and waits.
	LoadsInterval time.Duration
	// LoadsPerEntry lengthens that pause for each attached entry.
	LoadsPerEntry time.Duration
	// PlanInterval is the shortest time between two plans: many reports share one.
	// PlanPerRunner lengthens it for each upstream: BenchmarkPlan gives 12 µs of a plan for
	// each of 140, which this keeps at a few hundredths of a core.
	PlanInterval  time.Duration
	PlanPerRunner time.Duration
	// StoreConcurrency is the number of loads that the weight store serves at full speed.
	StoreConcurrency int
	// AdapterConcurrency is the number of adapter loads on their way over all runners.
	AdapterConcurrency int
	// AdapterTime is how long an adapter load is taken to last.
	AdapterTime time.Duration
	// AdapterImbalance is the number of requests by which the runners of an adapter may
	// exceed another runner of its model before the adapter is loaded there too.
	AdapterImbalance int
	// CeilingWindow is the span in which starts of loads from the store are counted.
	CeilingWindow time.Duration
	// RequestsPerReplica is the concurrency beyond which another replica is wanted.
	RequestsPerReplica int
	// ScaleInterval is the shortest time between two extra replicas of a model.
	ScaleInterval time.Duration
	// RecentUse protects a model from eviction after its last request.
	RecentUse time.Duration
	// RateHalfLife is the half-life of the request rate of a model.
	RateHalfLife time.Duration
	// Prefetch orders models that lie on no disk to be loaded while the store is idle.
	Prefetch bool
}

// DefaultSettings returns the settings in use.
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

// String names the result for logs and metrics.
func (r OrderResult) String() string { return orderResults[r] }
