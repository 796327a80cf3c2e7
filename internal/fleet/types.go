// Package fleet is the decision core of the acting coordinator. It tracks upstreams by
// their heartbeats, publishes changes to entries, and orders runners to load and unload
// models and adapters. The core does no I/O: events and the current time go in through
// Step, and actions come out.
package fleet

import (
	"time"

	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/suspect"
	"gentiankeel/internal/wire"
)

// Time is monotonic time since the start of the term.
type Time = time.Duration

// Event is an input of the core.
type Event interface{ isEvent() }

// HeartbeatReceived is a heartbeat of an upstream or, if Leaves is set, its notice that it leaves.
type HeartbeatReceived struct{ State *wire.UpstreamState }

// DepartureRestored is the announcement of an upstream that it leaves, made in an earlier term. It must
// precede all heartbeats and reports.
type DepartureRestored struct{ Departure *wire.Departure }

// SoftwareRestored is the record of the versions of software, which earlier terms committed. It must precede all heartbeats
// and reports. From then on, a version is committed before an upstream that runs it is published.
type SoftwareRestored struct {
	Versions []*wire.ServiceSoftware
	Complete bool // no other version ran within the minute before the term
	Recorded bool // there is a record
}

// SoftwareRecorded is the result of committing the versions of software.
type SoftwareRecorded struct {
	Record *wire.SoftwareRecord
	Failed bool
}

// EntrySnapshot carries what an entry knew of upstreams when it attached: their states, and the
// limits in force. The entry holds no permits.
type EntrySnapshot struct {
	Entry  string
	States []*wire.UpstreamState
	Limits []*wire.LimitStatement
	// Unready holds the upstreams that said to the entry that they leave or want a pause.
	Unready []*wire.UnreadyUpstream
	// OfflineUse is what the entry used of quotas before it attached, and Entries how many entries were
	// attached lately at most; 0: unknown.
	OfflineUse   []*wire.OfflineUse
	Entries      uint32
	QuotaHistory time.Duration // time for which the entry has recorded its use
	QuotaStepAge time.Duration // time since the current step of that record began
	// Software holds the versions of software that ran lately as far as the entry knows.
	Software []*wire.ServiceSoftware
}

// EntryReport carries the demand and the loads of an entry that changed since its last
// report. A load without running requests has ended.
type EntryReport struct {
	Entry   string
	Demand  []*wire.ModelDemand
	Loads   []*wire.UpstreamLoad
	Limits  []*wire.LimitStatement
	Permits []*wire.PermitDemand
	Unready []*wire.UnreadyUpstream
	Paces   []*wire.UpstreamPace
}

// RunsReported carries runs that an entry lost, and answers to requests with suspect traits.
type RunsReported struct {
	Lost    []suspect.LossReport
	Answers []suspect.AnswerReport
}

// SuspectRestored is a trait in quarantine whose losses were saved.
type SuspectRestored struct {
	Trait suspect.Trait
	Lost  []suspect.Incarnation
	Age   time.Duration // since the last loss
}

// EntrySilent reports that nothing was heard for long of an entry whose stream goes on, or that it is
// heard again. Only its quotas depend on that.
type EntrySilent struct {
	Entry  string
	Silent bool
}

// EntryGone reports the end of an entry's stream: its demand and loads no longer count.
type EntryGone struct{ Entry string }

// RoutingChanged replaces the routing configuration.
type RoutingChanged struct{ Config *routing.Config }

// ReportReceived is the result of reading a runner's report. Failed is set when there
// was no answer.
type ReportReceived struct {
	Upstream   string
	BornUnixMs int64 // start of the incarnation, Unix time in milliseconds
	Report     Report
	Failed     bool
	Answer     Answer
	Took       time.Duration // time from the call to its answer
}

// Answer is what the answer to a call says beside its result.
type Answer struct {
	Limit      *ratelimit.Statement // about the runner's limit; nil: nothing
	Leaving    bool                 // the runner leaves
	RetryAfter time.Duration        // time for which the runner wants no calls; 0: none
}

// Report is a runner's description of its own state. It may be some hundred
// milliseconds old.
type Report struct {
	Models          []*wire.HeldModel
	Busy            bool             // an order on a model is being executed
	Sequence        uint64           // number of orders accepted since the runner's start
	InMemory        []string         // models whose weights are in the host's memory
	OnDisk          []string         // models whose weights are on the runner's disk
	LoadingAdapters []LoadingAdapter // adapters being loaded; each occupies an adapter slot already
}

// LoadingAdapter is an adapter that a runner is loading.
type LoadingAdapter struct{ Model, Adapter string }

// OrderAnswered is the result of sending an order.
type OrderAnswered struct {
	Upstream   string
	BornUnixMs int64 // start of the incarnation, Unix time in milliseconds
	Result     OrderResult
	Answer     Answer
	Took       time.Duration // time from the call to its answer
}

// OrderResult is what is known about an order that was sent.
type OrderResult int

// The results of an order.
const (
	OrderUnknown     OrderResult = iota // no answer: it may still be executed later
	OrderAccepted                       // it is being executed
	OrderCompleted                      // the requested state has been reached
	OrderConflict                       // another order is being executed, or the sequence differs
	OrderFenced                         // a higher fencing token has been used
	OrderInvalid                        // the runner rejected the order as malformed or impossible
	OrderMisdirected                    // another incarnation serves the address
	OrderNotSent                        // no byte of it was written
)

// OrdersAllowed allows orders where Settings.HoldOrders is set.
type OrdersAllowed struct{}

// Tick makes the core check its timers. Behind is set while inputs queue that the core has no time for:
// until a tick without it, plans leave out prefetches and estimates of waits.
type Tick struct{ Behind bool }

func (HeartbeatReceived) isEvent() {}
func (DepartureRestored) isEvent() {}
func (SoftwareRestored) isEvent()  {}
func (SoftwareRecorded) isEvent()  {}
func (EntrySnapshot) isEvent()     {}
func (EntryReport) isEvent()       {}
func (RunsReported) isEvent()      {}
func (SuspectRestored) isEvent()   {}
func (EntrySilent) isEvent()       {}
func (EntryGone) isEvent()         {}
func (RoutingChanged) isEvent()    {}
func (ReportReceived) isEvent()    {}
func (OrderAnswered) isEvent()     {}
func (OrdersAllowed) isEvent()     {}
func (Tick) isEvent()              {}

// Action is an output of the core.
type Action interface{ isAction() }

// Publish sends the new state of an upstream to the attached entries that it concerns.
type Publish struct {
	State *wire.UpstreamState
	// OnlyModels holds the models that differ from the state published before, if nothing else does.
	// Only entries that follow one of them are concerned then.
	OnlyModels []string
}

// PublishLoads sends to entries how many requests run on each upstream, summed over all
// entries.
type PublishLoads struct{ Loads *wire.FleetLoads }

// PublishWaits tells the entries that follow a model when it is expected to be loaded, or that it is no
// longer missing. Core.Waits has the estimates.
type PublishWaits struct{ Changed []ModelRef }

// ModelRef names a model of a service.
type ModelRef struct{ Service, Model string }

// PublishSoftware sends to every attached entry which software the fleet runs.
type PublishSoftware struct{ Software []*wire.ServiceSoftware }

// RecordSoftware commits which versions of software run or ran lately. It is answered with SoftwareRecorded; until then there
// is no other one.
type RecordSoftware struct{ Record *wire.SoftwareRecord }

// PublishSuspects sends changes of the suspect traits to every attached entry.
type PublishSuspects struct{ Suspects []suspect.Suspicion }

// GrantPermits tells an entry about its permits for limited upstreams and its units of organisations.
type GrantPermits struct {
	Entry  string
	Grants []ratelimit.Grant
}

// ReportThrottle reports that requests of an organisation have to wait for its quota, or do no longer.
type ReportThrottle struct {
	ratelimit.Throttle
	Throttled int // organisations that are throttled now
}

// SaveLosses saves the losses of traits in quarantine, which must outlast the coordinator.
type SaveLosses struct{ Losses []suspect.Loss }

// SendOrder sends an order to a runner.
type SendOrder struct {
	Upstream   string
	BornUnixMs int64 // start of the incarnation, Unix time in milliseconds
	Address    string
	Order      Order
}

// ReadReport requests a runner's report.
type ReadReport struct {
	Upstream   string
	BornUnixMs int64 // start of the incarnation, Unix time in milliseconds
	Address    string
}

// TokenSuperseded reports that a runner has seen a higher fencing token. The core sends
// no more orders in its term.
type TokenSuperseded struct{}

func (Publish) isAction()         {}
func (PublishLoads) isAction()    {}
func (PublishWaits) isAction()    {}
func (PublishSoftware) isAction() {}
func (RecordSoftware) isAction()  {}
func (PublishSuspects) isAction() {}
func (GrantPermits) isAction()    {}
func (ReportThrottle) isAction()  {}
func (SaveLosses) isAction()      {}
func (SendOrder) isAction()       {}
func (ReadReport) isAction()      {}
func (TokenSuperseded) isAction() {}

// Order changes what a runner holds. The runner executes it only if it has accepted
// exactly the expected number of orders, so that a delayed order can't follow a newer
// one.
type Order struct {
	Unload           bool
	Model            string
	Adapter          string // empty for a model
	ExpectedSequence uint64 // orders that the runner must have accepted since its start
	Reason           string
}

// Settings are the parameters of the core.
type Settings struct {
	// HoldOrders keeps the core from giving orders until OrdersAllowed.
	HoldOrders bool
	// SuspectAfter is the time without a heartbeat after which entries avoid an
	// upstream: three missed heartbeats.
	SuspectAfter time.Duration
	// HeartbeatInterval is the time between two heartbeats of an upstream.
	HeartbeatInterval time.Duration
	// ForgetAfter is the time without a heartbeat after which an upstream is treated as
	// gone.
	ForgetAfter time.Duration
	// TombstoneTTL is how long a gone incarnation is remembered, so that a late
	// heartbeat does not bring it back.
	TombstoneTTL time.Duration
	// ReportReadInterval is the shortest time between two reads of a runner's report.
	// Reports lag by some hundred milliseconds, and each read costs the runner.
	ReportReadInterval time.Duration
	// MaxReportReads is the number of reports read at once. A new coordinator has to read those of
	// all runners, each over a connection.
	MaxReportReads int
	// MaxReportAge is the largest age of a report. A report with a lower sequence than
	// counted by the core is ignored as outdated until the last accepted order is older
	// than this.
	MaxReportAge time.Duration
	// AnswerTimeout is how long an adapter load may go unanswered before another
	// runner gets the order too: a few round trips between zones. A lost answer is
	// detected only after 800 ms, and the order may be executed much later.
	AnswerTimeout time.Duration
	// OrderSlack is added to the expected time of an order before its execution is
	// checked.
	OrderSlack time.Duration
	// LoadsInterval is the shortest time between two publications of upstreams' loads, which
	// are their running requests.
	LoadsInterval time.Duration
	// PaceInterval is the time between two updates of the factors of runners' speed.
	PaceInterval time.Duration
	// LoadsIntervalPerEntry, multiplied by the number of attached entries, is another
	// lower bound of that time.
	LoadsIntervalPerEntry time.Duration
	// PlanInterval is the shortest time between two plans, so that many reports share
	// one.
	PlanInterval time.Duration
	// PlanIntervalPerUpstream is added to that time for each upstream: a plan takes about
	// 12 µs for each of 140 upstreams (BenchmarkPlan), which this limits to a few
	// hundredths of a core.
	PlanIntervalPerUpstream time.Duration
	// StoreConcurrency bounds the number of concurrent loads from the weight store; 0: only
	// what is learnt from the time of loads bounds it.
	StoreConcurrency int
	// AdapterConcurrency is the number of concurrent adapter loads over all runners.
	AdapterConcurrency int
	// AdapterLoadTime is the expected time of an adapter load.
	AdapterLoadTime time.Duration
	// AdapterImbalance is the difference in running requests, between the least busy
	// runner with an adapter and another runner of the model, above which the adapter is
	// loaded on that one too.
	AdapterImbalance int
	// StoreRateWindow is the window over which the rate of loads from the store is
	// limited.
	StoreRateWindow time.Duration
	// RequestsPerReplica is the number of running requests on each runner of a model
	// above which the model gets another replica.
	RequestsPerReplica int
	// ScaleInterval is the shortest time between two added replicas of a model.
	ScaleInterval time.Duration
	// RecentUseWindow is the time after its last request during which evicting the only
	// replica of a model costs one second more.
	RecentUseWindow time.Duration
	// RateHalfLife is the half-life of a model's request rate.
	RateHalfLife time.Duration
	// FastRateHalfLife is the half-life of the estimate of that rate that follows a rise.
	FastRateHalfLife time.Duration
	// Prefetch enables loading models whose weights are on no runner, and more copies
	// of busy ones, while the store has capacity to spare.
	Prefetch bool
}

// DefaultSettings returns the settings that production uses.
func DefaultSettings() Settings {
	return Settings{
		SuspectAfter:            4 * time.Second,
		HeartbeatInterval:       1200 * time.Millisecond,
		ForgetAfter:             20 * time.Second,
		TombstoneTTL:            60 * time.Second,
		ReportReadInterval:      400 * time.Millisecond,
		MaxReportReads:          256,
		MaxReportAge:            1500 * time.Millisecond,
		AnswerTimeout:           150 * time.Millisecond,
		OrderSlack:              300 * time.Millisecond,
		LoadsInterval:           50 * time.Millisecond,
		PaceInterval:            time.Second,
		LoadsIntervalPerEntry:   500 * time.Microsecond,
		PlanInterval:            10 * time.Millisecond,
		PlanIntervalPerUpstream: 300 * time.Microsecond,
		AdapterConcurrency:      32,
		AdapterLoadTime:         25 * time.Millisecond,
		AdapterImbalance:        3,
		StoreRateWindow:         5 * time.Second,
		RequestsPerReplica:      4,
		ScaleInterval:           time.Second,
		RecentUseWindow:         1500 * time.Millisecond,
		RateHalfLife:            5 * time.Second,
		FastRateHalfLife:        time.Second,
		Prefetch:                true,
	}
}

var orderResults = [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "invalid", "misdirected", "unsent"}

// String returns the result's name in logs and metrics.
func (r OrderResult) String() string { return orderResults[r] }
