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

// HeartbeatReceived is a heartbeat, or the word of an upstream that it leaves.
type HeartbeatReceived struct{ State *wire.UpstreamState }

// EntrySnapshot is what an entry knew of the fleet when it attached.
type EntrySnapshot struct{ States []*wire.UpstreamState }

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

// ReportReceived answers Read. Err is set when there is no answer.
type ReportReceived struct {
	Upstream string
	Born     int64
	Report   Report
	Failed   bool
}

// Report is a runner's own account of itself. It may be some hundred milliseconds old.
type Report struct {
	Models          []*wire.HeldModel
	Busy            bool   // an order on a model is being carried out
	Sequence        uint64 // orders accepted since the runner's start
	InMemory        []string
	OnDisk          []string
	LoadingAdapters []LoadingAdapter // adapters on their way: each takes a place already
}

// LoadingAdapter is an adapter that a runner is loading.
type LoadingAdapter struct{ Model, Adapter string }

// OrderAnswered answers Send.
type OrderAnswered struct {
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
	OrderCompleted                      // what it asks for holds now
	OrderConflict                       // another order runs, or the sequence differs
	OrderFenced                         // a higher fencing token has been used
	OrderInvalid                        // the runner does not know such an order
	OrderMisdirected                    // another incarnation serves the address
	OrderNotSent                        // no byte of it was written
)

// Tick lets time pass.
type Tick struct{}

func (HeartbeatReceived) isEvent() {}
func (EntrySnapshot) isEvent()     {}
func (EntryReport) isEvent()       {}
func (EntryGone) isEvent()         {}
func (RoutingChanged) isEvent()    {}
func (ReportReceived) isEvent()    {}
func (OrderAnswered) isEvent()     {}
func (Tick) isEvent()              {}

// Action is one output of the core.
type Action interface{ isAction() }

// Publish tells every attached entry the new state of an upstream.
type Publish struct{ State *wire.UpstreamState }

// PublishLoads tells entries what runs on each upstream over all entries.
type PublishLoads struct{ Loads *wire.FleetLoads }

// PublishWaits tells entries when models that are not loaded will be.
type PublishWaits struct{ Waits []*wire.ModelWait }

// SendOrder carries an order to a runner; Ordered answers it.
type SendOrder struct {
	Upstream string
	Born     int64
	Address  string
	Order    Order
}

// ReadReport asks a runner for its report; Reported answers it.
type ReadReport struct {
	Upstream string
	Born     int64
	Address  string
}

// EndTerm ends the term: a higher fencing token has been used.
type EndTerm struct{}

func (Publish) isAction()      {}
func (PublishLoads) isAction() {}
func (PublishWaits) isAction() {}
func (SendOrder) isAction()    {}
func (ReadReport) isAction()   {}
func (EndTerm) isAction()      {}

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
	// TombstoneTTL is how long a gone incarnation is remembered, so that a late heartbeat
	// does not bring it back.
	TombstoneTTL time.Duration
	// ReportReadInterval is the pause between two reports read from a runner. Reports lag by some
	// hundred milliseconds, and each one costs the runner.
	ReportReadInterval time.Duration
	// MaxReportAge is how old a report can be: one that knows of fewer orders than were counted
	// here is believed once the last order is older.
	MaxReportAge time.Duration
	// AnswerTimeout is how long an adapter's load may be without an answer before another
	// runner is asked too: a few round trips between zones. A lost answer is given up only
	// after 800 ms, and the order may be carried out much later.
	AnswerTimeout time.Duration
	// OrderSlack is added to the time that an order should take before it is looked at.
	OrderSlack time.Duration
	// LoadsInterval is the pause between two publications of loads and waits.
	LoadsInterval time.Duration
	// LoadsIntervalPerEntry lengthens that pause for each attached entry.
	LoadsIntervalPerEntry time.Duration
	// PlanInterval is the shortest time between two plans: many reports share one.
	// PlanIntervalPerUpstream lengthens it for each upstream: BenchmarkPlan gives 12 µs of a plan for
	// each of 140, which this keeps at a few hundredths of a core.
	PlanInterval            time.Duration
	PlanIntervalPerUpstream time.Duration
	// StoreConcurrency is the number of loads that the weight store serves at full speed.
	StoreConcurrency int
	// AdapterConcurrency is the number of adapter loads on their way over all runners.
	AdapterConcurrency int
	// AdapterLoadTime is how long an adapter load is taken to last.
	AdapterLoadTime time.Duration
	// AdapterImbalance is the number of requests by which the runners of an adapter may
	// exceed another runner of its model before the adapter is loaded there too.
	AdapterImbalance int
	// StoreRateWindow is the span in which starts of loads from the store are counted.
	StoreRateWindow time.Duration
	// RequestsPerReplica is the concurrency beyond which another replica is wanted.
	RequestsPerReplica int
	// ScaleInterval is the shortest time between two extra replicas of a model.
	ScaleInterval time.Duration
	// RecentUseWindow protects a model from eviction after its last request.
	RecentUseWindow time.Duration
	// RateHalfLife is the half-life of the request rate of a model.
	RateHalfLife time.Duration
	// Prefetch orders models that lie on no disk to be loaded while the store is idle.
	Prefetch bool
}

// DefaultSettings returns the settings in use.
func DefaultSettings() Settings {
	return Settings{
		SuspectAfter:            4 * time.Second,
		ForgetAfter:             20 * time.Second,
		TombstoneTTL:            60 * time.Second,
		ReportReadInterval:      400 * time.Millisecond,
		MaxReportAge:            1500 * time.Millisecond,
		AnswerTimeout:           150 * time.Millisecond,
		OrderSlack:              300 * time.Millisecond,
		LoadsInterval:           50 * time.Millisecond,
		LoadsIntervalPerEntry:   500 * time.Microsecond,
		PlanInterval:            10 * time.Millisecond,
		PlanIntervalPerUpstream: 300 * time.Microsecond,
		StoreConcurrency:        4,
		AdapterConcurrency:      32,
		AdapterLoadTime:         25 * time.Millisecond,
		AdapterImbalance:        3,
		StoreRateWindow:         5 * time.Second,
		RequestsPerReplica:      4,
		ScaleInterval:           time.Second,
		RecentUseWindow:         1500 * time.Millisecond,
		RateHalfLife:            5 * time.Second,
		Prefetch:                true,
	}
}

var orderResults = [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "invalid", "misdirected", "unsent"}

// String names the result for logs and metrics.
func (r OrderResult) String() string { return orderResults[r] }
