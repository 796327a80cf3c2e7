// Package retry decides what becomes of one request: when an attempt is asked for,
// sent, hedged, resumed or given up, what reaches the caller, and what the caller is
// told at the end. The core has no I/O: events and the time go in through Step,
// actions come out.
package retry

import (
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// Time is monotonic time since the entry's start.
type Time = time.Duration

// Config is what holds for one request.
type Config struct {
	Deadline Time // the point in time at which the caller gives up
	// Idempotent allows another attempt after one that may have run.
	Idempotent bool
	// Hedge allows a second attempt beside a slow one; it needs Idempotent.
	Hedge bool
	// MaxAttempts bounds the attempts that are sent.
	MaxAttempts int
	// CountRuns counts only attempts that may have run against MaxAttempts. Those that an
	// upstream refused or that were never written are bounded by MaxAsks and the budget.
	CountRuns bool
	// MaxAsks bounds the slots asked for, with those that were never used.
	MaxAsks int
}

// Budget limits retries and hedges over all requests of an entry.
type Budget interface {
	// Take uses one unit and reports whether there was one.
	Take() bool
}

// Event is one input of the core.
type Event interface{ isEvent() }

// Start is the first event.
type Start struct{}

// Granted tells that the scheduler gave an attempt a slot.
type Granted struct {
	Attempt    int
	Upstream   string
	HedgeAfter time.Duration // 0: no hedge
}

// Refused tells that an attempt gets no slot.
type Refused struct {
	Attempt int
	Err     *errkind.Error
}

// Unused tells that a granted attempt was not sent and never will be: no byte of it
// was written, for instance because its grant had gone stale.
type Unused struct{ Attempt int }

// Token tells that an attempt brought the token at a position of the answer.
type Token struct {
	Attempt int
	Index   int // 0 is the answer's first token
}

// Note tells that an attempt brought a part of the stream without a position.
type Note struct{ Attempt int }

// Whole tells that an attempt brought its whole answer, checked up to the end mark.
type Whole struct{ Attempt int }

// Failed tells that an attempt ended without a whole answer.
type Failed struct {
	Attempt int
	Err     *errkind.Error
	// NotRun: the upstream itself refused the attempt before running it.
	NotRun bool
	// Unsent: no byte of the attempt was written, and none will be.
	Unsent bool
	// Cut: the connection or the stream ended in mid-answer.
	Cut bool
}

// CallerLeft tells that nobody waits for the answer any more.
type CallerLeft struct{}

// Tick tells that the time of a Wake has come.
type Tick struct{}

func (Start) isEvent()      {}
func (Granted) isEvent()    {}
func (Refused) isEvent()    {}
func (Unused) isEvent()     {}
func (Token) isEvent()      {}
func (Note) isEvent()       {}
func (Whole) isEvent()      {}
func (Failed) isEvent()     {}
func (CallerLeft) isEvent() {}
func (Tick) isEvent()       {}

// Action is one output of the core.
type Action interface{ isAction() }

// Ask asks the scheduler for a slot.
type Ask struct {
	Attempt int
	Exclude []string
	Hedge   bool
	Retry   bool // an attempt was sent before
}

// Send sends an attempt under its grant.
type Send struct {
	Attempt    int
	ResumeFrom int // tokens already passed on
}

// Hold keeps the attempt's newest part back until it is known to belong to the answer.
type Hold struct{ Attempt int }

// Drop throws the attempt's newest part away.
type Drop struct{ Attempt int }

// Forward passes the attempt's held parts and its newest one on to the caller.
type Forward struct{ Attempt int }

// Deliver passes the attempt's held parts and its end on; Finish follows.
type Deliver struct{ Attempt int }

// Cancel ends an attempt: its ask, or its call at the upstream.
type Cancel struct{ Attempt int }

// Release gives an attempt's slot back.
type Release struct {
	Attempt int
	Outcome wire.Outcome
}

// Wake asks for a Tick at a time.
type Wake struct{ At Time }

// Finish is the one final answer; a nil Err means that the whole answer was delivered.
type Finish struct{ Err *errkind.Error }

func (Ask) isAction()     {}
func (Send) isAction()    {}
func (Hold) isAction()    {}
func (Drop) isAction()    {}
func (Forward) isAction() {}
func (Deliver) isAction() {}
func (Cancel) isAction()  {}
func (Release) isAction() {}
func (Wake) isAction()    {}
func (Finish) isAction()  {}
