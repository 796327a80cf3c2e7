// Package orders follows the upstreams of one cell and carries the orders of its
// scheduler out. The core has no I/O: events and the time go in through Step, actions
// come out. Each decision is committed to the replicated log before its order is sent,
// and an order whose outcome is not sure holds its slot and its memory until the
// upstream's own report settles it.
package orders

import (
	"time"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// Time is the core's clock: monotonic time since the scheduler's start.
type Time = time.Duration

// Options are the settings of a core. Zero durations take the defaults.
type Options struct {
	Cell  string
	Lease string // name of the scheduler's lease
	Fence uint64 // fencing number of that lease
	// Takeover is the rest of the former holder's lease plus the longer of the life of
	// an order and the use-by of a grant. Until it has passed, upstreams that ignore
	// fencing numbers get no order, and nothing is unloaded anywhere: the former holder
	// may still grant slots on it.
	Takeover time.Duration

	OrderLife    time.Duration // bound of one sending of an order
	ResendAfter  time.Duration // pause before an order of unknown outcome is sent again
	ReadEvery    time.Duration // pause between readings of an upstream's state
	CommitRetry  time.Duration // pause before a settlement is committed again
	ProposalLife time.Duration // longest time after which a lost proposal may still commit
	SuspectAfter time.Duration // silence after which an upstream is probed
	// ExpireAfter is the silence after which an upstream may be taken for dead, if it
	// announced that it leaves or its address refuses connections.
	ExpireAfter time.Duration
	// AssumeDeadAfter is the silence after which the platform guarantees that a VM has
	// ended. 0: never, a silent upstream holds its slots until it is known dead.
	AssumeDeadAfter time.Duration
	// AuditEvery is the pause between readings of the log that look for decisions
	// this core does not know.
	AuditEvery time.Duration

	StoreRate  float64 // loads from the weight store that may start in a second
	StoreMax   int     // loads from the weight store at once
	AdapterMax int     // adapter loads at once

	disabled mechanism // taken out by a test
}

// mechanism names a part that a test takes out to show what it is for.
type mechanism int

const (
	mechNone mechanism = iota
	mechCommitFirst
	mechOldAnnouncements
	mechTakeoverWait
	mechSerial
	mechHoldUnknown
	mechReadLog
	mechDrainGrants
	mechKnownDead
)

// Defaults of Options.
const (
	DefaultOrderLife    = 2 * time.Second
	DefaultResendAfter  = 500 * time.Millisecond
	DefaultReadEvery    = 200 * time.Millisecond
	DefaultCommitRetry  = 500 * time.Millisecond
	DefaultProposalLife = 10 * time.Second
	DefaultSuspectAfter = 3 * time.Second
	DefaultExpireAfter  = 20 * time.Second
	DefaultAuditEvery   = 30 * time.Second
	DefaultStoreRate    = 3
	DefaultStoreMax     = 4
	DefaultAdapterMax   = 32
)

func (o Options) withDefaults() Options {
	setDefault(&o.OrderLife, DefaultOrderLife)
	setDefault(&o.ResendAfter, DefaultResendAfter)
	setDefault(&o.ReadEvery, DefaultReadEvery)
	setDefault(&o.CommitRetry, DefaultCommitRetry)
	setDefault(&o.ProposalLife, DefaultProposalLife)
	setDefault(&o.SuspectAfter, DefaultSuspectAfter)
	setDefault(&o.ExpireAfter, DefaultExpireAfter)
	setDefault(&o.AuditEvery, DefaultAuditEvery)
	setDefault(&o.StoreRate, DefaultStoreRate)
	setDefault(&o.StoreMax, DefaultStoreMax)
	setDefault(&o.AdapterMax, DefaultAdapterMax)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Event is one input of the core.
type Event interface{ isEvent() }

// Recovered is what the log holds of the cell, read linearizably. The first one starts
// the core; a later one answers ReadLog.
type Recovered struct {
	Index      uint64 // log index that the reading reflects
	Placements []*wire.Placement
	OpenOrders []*wire.Order
	Upstreams  []*wire.UpstreamRecord
	Spec       *wire.Spec
}

// ReadLogFailed tells that the log could not be read; it is asked for again.
type ReadLogFailed struct{}

// Announced passes on an upstream's announcement.
type Announced struct{ Announcement upstream.Announcement }

// StateRead answers ReadState.
type StateRead struct {
	Upstream string
	State    upstream.State
}

// ReadFailed tells that an upstream did not answer ReadState.
type ReadFailed struct {
	Upstream string
	Refused  bool // its address refused the connection: no process listens there
}

// Doubted tells that an upstream cut an answer off and may have died: it is asked for
// its state at once.
type Doubted struct{ Upstream string }

// Planned brings a plan made from Snapshot.
type Planned struct{ Plan placement.Plan }

// Committed answers Commit, Settle, PutUpstream and DropUpstream: the command is in the
// log. Results are those of CommitOrders and SettleOrders.
type Committed struct {
	Batch   uint64
	Index   uint64
	Results []*wire.OrderResult
}

// CommitFailed tells that a command's commit failed.
type CommitFailed struct {
	Batch uint64
	Cause CommitFailure
}

// CommitFailure is how sure the failure of a commit is.
type CommitFailure int

// The failures of a commit.
const (
	CommitUnknown CommitFailure = iota // it may be in the log, now or later
	CommitRefused                      // it is not in the log and never will be
	CommitFenced                       // the fencing number has ended
)

// Replied is an upstream's answer to an order.
type Replied struct {
	Upstream string
	Reply    upstream.OrderReply
}

// SendFailed tells that an order got no answer.
type SendFailed struct {
	Upstream string
	Order    string
	Unknown  bool // it may have reached the upstream; false: no byte was written
	Refused  bool // the connection was refused
}

// SpecChanged replaces the applied file.
type SpecChanged struct{ Spec *wire.Spec }

// LeaseEnded tells that the scheduler's lease is lost or about to run out.
type LeaseEnded struct{}

// Tick lets time pass.
type Tick struct{}

func (Recovered) isEvent()     {}
func (ReadLogFailed) isEvent() {}
func (Announced) isEvent()     {}
func (StateRead) isEvent()     {}
func (ReadFailed) isEvent()    {}
func (Doubted) isEvent()       {}
func (Planned) isEvent()       {}
func (Committed) isEvent()     {}
func (CommitFailed) isEvent()  {}
func (Replied) isEvent()       {}
func (SendFailed) isEvent()    {}
func (SpecChanged) isEvent()   {}
func (LeaseEnded) isEvent()    {}
func (Tick) isEvent()          {}

// Action is one output of the core. Commands are proposed in the order in which they
// come out.
type Action interface{ isAction() }

// Propose commits a command; Committed or CommitFailed answers it under its batch.
type Propose struct {
	Batch   uint64
	Command *wire.Command
}

// Send posts an order to an upstream; Replied or SendFailed answers it.
type Send struct {
	Upstream string
	Address  string
	Order    upstream.Order
	Timeout  time.Duration
	// Serial asks for the upstream's one connection: it ignores fencing numbers, so a
	// second path could let an old order arrive after a newer one.
	Serial bool
}

// ReadState gets an upstream's state; StateRead or ReadFailed answers it.
type ReadState struct {
	Upstream string
	Address  string
}

// ReadLog reads the cell's placements; Recovered or ReadLogFailed answers it.
type ReadLog struct{}

// GrantUpdate is an event for the grant core.
type GrantUpdate struct{ Event grant.Event }

// Stop ends the scheduler's term: its fencing number has ended.
type Stop struct{ Why string }

func (Propose) isAction()     {}
func (Send) isAction()        {}
func (ReadState) isAction()   {}
func (ReadLog) isAction()     {}
func (GrantUpdate) isAction() {}
func (Stop) isAction()        {}
