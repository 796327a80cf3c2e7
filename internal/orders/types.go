// Package orders tracks the upstreams of one cell and issues the orders of its scheduler.
// The core has no I/O: events and the time go in through Step, actions come out. Each order
// is committed to the replicated log before it is sent, and an order whose outcome is
// unknown keeps its slot and its memory until the upstream's own report settles it.
package orders

import (
	"time"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// Time is the core's clock: monotonic time since the start of the scheduler's term.
type Time = time.Duration

// Options are the settings of a core. A field that has a Default constant takes it when it
// is zero.
type Options struct {
	Cell  string
	Lease string // name of the scheduler's lease
	Fence uint64 // fencing number of that lease
	// TakeoverWait is the rest of the former holder's lease plus OrderLife or the use-by time
	// of a grant, whichever is longer. Until it has passed, upstreams that ignore
	// fencing numbers get no order, and nothing is unloaded anywhere: the former holder may
	// still grant slots on any replica.
	TakeoverWait time.Duration

	OrderLife        time.Duration // longest time from sending an order to its arrival or answer
	ResendDelay      time.Duration // delay before an unanswered order or read is repeated
	ReadInterval     time.Duration // shortest time between reads of an upstream's state or of the log
	CommitRetryDelay time.Duration // delay before a failed registration, settlement or read of the log is repeated
	ProposalLife     time.Duration // longest time after which a lost proposal may still commit
	SuspectAfter     time.Duration // silence after which an upstream is probed
	// ExpireAfter is the silence after which an upstream is dropped: a plain service in any
	// case, a runner if it had announced that it leaves and can't be reached, or if its
	// address refuses connections.
	ExpireAfter time.Duration
	// AssumeDeadAfter is the silence after which the platform guarantees that a VM has
	// ended. 0: never; a silent upstream keeps its slots until it is known dead.
	AssumeDeadAfter time.Duration
	// AuditInterval is the time between reads of the log that look for orders which this
	// core has no record of.
	AuditInterval time.Duration

	StoreLoadsPerSecond float64 // loads from the weight store that may start per second
	MaxStoreLoads       int     // concurrent loads from the weight store
	MaxAdapterLoads     int     // concurrent adapter loads

	disabled mechanism // the one that a test disables
}

// mechanism is a part of the core that a test can disable to show which failure it prevents.
type mechanism int

const (
	mechanismNone mechanism = iota
	mechanismCommitFirst
	mechanismStaleAnnouncements
	mechanismTakeoverWait
	mechanismSerial
	mechanismKeepUnknown
	mechanismReadLog
	mechanismDrainGrants
	mechanismKnownDead
)

// Defaults of Options.
const (
	DefaultOrderLife           = 2 * time.Second
	DefaultResendDelay         = 500 * time.Millisecond
	DefaultReadInterval        = 200 * time.Millisecond
	DefaultCommitRetryDelay    = 500 * time.Millisecond
	DefaultProposalLife        = 10 * time.Second
	DefaultSuspectAfter        = 3 * time.Second
	DefaultExpireAfter         = 20 * time.Second
	DefaultAuditInterval       = 30 * time.Second
	DefaultStoreLoadsPerSecond = 3
	DefaultMaxStoreLoads       = 4
	DefaultMaxAdapterLoads     = 32
)

func (o Options) withDefaults() Options {
	setDefault(&o.OrderLife, DefaultOrderLife)
	setDefault(&o.ResendDelay, DefaultResendDelay)
	setDefault(&o.ReadInterval, DefaultReadInterval)
	setDefault(&o.CommitRetryDelay, DefaultCommitRetryDelay)
	setDefault(&o.ProposalLife, DefaultProposalLife)
	setDefault(&o.SuspectAfter, DefaultSuspectAfter)
	setDefault(&o.ExpireAfter, DefaultExpireAfter)
	setDefault(&o.AuditInterval, DefaultAuditInterval)
	setDefault(&o.StoreLoadsPerSecond, DefaultStoreLoadsPerSecond)
	setDefault(&o.MaxStoreLoads, DefaultMaxStoreLoads)
	setDefault(&o.MaxAdapterLoads, DefaultMaxAdapterLoads)
	return o
}

func setDefault[T comparable](field *T, defaultValue T) {
	var zero T
	if *field == zero {
		*field = defaultValue
	}
}

// Event is one input of the core.
type Event interface{ isEvent() }

// LogRead is a linearizable read of the cell's state in the log. The first one starts
// the core; a later one answers ReadLog.
type LogRead struct {
	Index      uint64 // log index of the read
	Placements []*wire.Placement
	OpenOrders []*wire.Order
	Upstreams  []*wire.UpstreamRecord
	Spec       *wire.Spec
}

// LogReadFailed reports that the log could not be read; the core requests another read.
type LogReadFailed struct{}

// Announced is an upstream's announcement.
type Announced struct{ Announcement upstream.Announcement }

// StateRead answers ReadState.
type StateRead struct {
	Upstream string
	State    upstream.State
}

// ReadFailed reports that an upstream did not answer ReadState.
type ReadFailed struct {
	Upstream    string
	ConnRefused bool // the connection was refused: no process listens at the address
}

// AnswerCut reports that an upstream cut an answer off and may have died; its state is read
// at once.
type AnswerCut struct{ Upstream string }

// Planned is a plan made from a Snapshot.
type Planned struct{ Plan placement.Plan }

// Committed answers Propose: the command is in the log. Results are those of CommitOrders
// and SettleOrders.
type Committed struct {
	CommandID uint64
	Index     uint64
	Results   []*wire.OrderResult
}

// CommitFailed answers Propose: the commit failed.
type CommitFailed struct {
	CommandID uint64
	Cause     CommitFailure
}

// CommitFailure says what is known about a failed commit.
type CommitFailure int

// The failures of a commit.
const (
	CommitOutcomeUnknown CommitFailure = iota // the command may be in the log or may still commit
	CommitRefused                             // the command is not in the log and will never commit
	CommitFenced                              // the fencing number is no longer current
)

// OrderReplied is an upstream's answer to an order.
type OrderReplied struct {
	Upstream string
	Reply    upstream.OrderReply
}

// SendFailed reports that an order got no answer.
type SendFailed struct {
	Upstream       string
	OrderID        string
	MaybeDelivered bool // the order may have reached the upstream; false: no byte was written
	ConnRefused    bool // the connection was refused
}

// SpecChanged replaces the spec of the applied file.
type SpecChanged struct{ Spec *wire.Spec }

// LeaseEnded reports that the scheduler's lease is lost or about to run out.
type LeaseEnded struct{}

// Tick lets the core act on the time that has passed.
type Tick struct{}

func (LogRead) isEvent()       {}
func (LogReadFailed) isEvent() {}
func (Announced) isEvent()     {}
func (StateRead) isEvent()     {}
func (ReadFailed) isEvent()    {}
func (AnswerCut) isEvent()     {}
func (Planned) isEvent()       {}
func (Committed) isEvent()     {}
func (CommitFailed) isEvent()  {}
func (OrderReplied) isEvent()  {}
func (SendFailed) isEvent()    {}
func (SpecChanged) isEvent()   {}
func (LeaseEnded) isEvent()    {}
func (Tick) isEvent()          {}

// Action is one output of the core. Commands are proposed in the order of their actions.
type Action interface{ isAction() }

// Propose proposes a command to the log; Committed or CommitFailed with the same id answers
// it.
type Propose struct {
	CommandID uint64
	Command   *wire.Command
}

// Send sends an order to an upstream; OrderReplied or SendFailed answers it.
type Send struct {
	Upstream string
	Address  string
	Order    upstream.Order
	Timeout  time.Duration
	// Serial requires the upstream's single connection: it ignores fencing numbers, so on a
	// second one an old order could arrive after a newer one.
	Serial bool
}

// ReadState reads an upstream's state; StateRead or ReadFailed answers it.
type ReadState struct {
	Upstream string
	Address  string
}

// ReadLog reads the cell's state in the log; LogRead or LogReadFailed answers it.
type ReadLog struct{}

// GrantUpdate passes an event to the grant core.
type GrantUpdate struct{ Event grant.Event }

// Stop ends the scheduler's term: its lease has ended or its fencing number is out of date.
type Stop struct{ Reason string }

func (Propose) isAction()     {}
func (Send) isAction()        {}
func (ReadState) isAction()   {}
func (ReadLog) isAction()     {}
func (GrantUpdate) isAction() {}
func (Stop) isAction()        {}
