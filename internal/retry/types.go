// Package retry is the state machine of one request. It decides when an attempt is
// started, hedged, resumed or cancelled, which parts of a response reach the caller,
// and how the request ends. It does no I/O: Step takes an event and the current time
// and returns the actions to carry out.
package retry

import (
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// Time is monotonic time since the entry's start.
type Time = time.Duration

// Config holds the parameters of one request.
type Config struct {
	Deadline Time // when the request fails with DeadlineExceeded
	// Idempotent allows another attempt after one that may have run.
	Idempotent bool
	// Hedge allows a second attempt in parallel with a slow one; it requires Idempotent.
	Hedge bool
	// MaxAttempts limits the attempts that are sent.
	MaxAttempts int
	// ExemptNotRun leaves attempts that did not run (refused by an upstream or never
	// written) out of MaxAttempts. The limit on slot requests and the budget still apply.
	ExemptNotRun bool
	// MaxSlotRequests limits the slot requests, including those whose slot was never
	// used.
	MaxSlotRequests int
}

// Budget limits retries and hedges across requests.
type Budget interface {
	// Take spends one retry and reports whether one was available.
	Take() bool
}

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Start is the first event.
type Start struct{}

// Granted reports that the scheduler granted an attempt a slot.
type Granted struct {
	Attempt    int
	Upstream   string
	HedgeAfter time.Duration // 0: no hedge
}

// Refused reports that the scheduler refused an attempt a slot.
type Refused struct {
	Attempt int
	Err     *errkind.Error
}

// GrantUnused reports that a granted attempt was not and will not be sent: no byte of it
// was written, for example because its grant had expired.
type GrantUnused struct{ Attempt int }

// Token reports that an attempt received the token at an index of the response.
type Token struct {
	Attempt int
	Index   int // 0 is the first token of the response
}

// UnindexedChunk reports that an attempt received a chunk of its stream that has no
// token index.
type UnindexedChunk struct{ Attempt int }

// Completed reports that an attempt received its complete response. The end of the
// response has been verified.
type Completed struct{ Attempt int }

// Failed reports that an attempt ended without a complete response.
type Failed struct {
	Attempt int
	Err     *errkind.Error
	// NotRun is set when the upstream refused the attempt before running it.
	NotRun bool
	// Unsent is set when no byte of the attempt was or will be written.
	Unsent bool
	// Cut is set when the connection or stream broke before the end of the response.
	Cut bool
	// Final is set when no further attempt can continue what was forwarded.
	Final bool
}

// CallerGone reports that the caller disconnected.
type CallerGone struct{}

// Tick reports that the request's timer expired.
type Tick struct{}

func (Start) isEvent()          {}
func (Granted) isEvent()        {}
func (Refused) isEvent()        {}
func (GrantUnused) isEvent()    {}
func (Token) isEvent()          {}
func (UnindexedChunk) isEvent() {}
func (Completed) isEvent()      {}
func (Failed) isEvent()         {}
func (CallerGone) isEvent()     {}
func (Tick) isEvent()           {}

// Action is an output of the state machine.
type Action interface{ isAction() }

// RequestSlot requests a slot from the scheduler.
type RequestSlot struct {
	Attempt int
	Exclude []string // upstreams that must not be granted
	Hedge   bool
	Retry   bool // an attempt was sent before
}

// Send sends an attempt to the granted upstream.
type Send struct {
	Attempt    int
	ResumeFrom int // number of tokens already forwarded
}

// Buffer keeps the attempt's newest chunk until it is known to be part of the response.
type Buffer struct{ Attempt int }

// Drop discards the attempt's newest chunk.
type Drop struct{ Attempt int }

// Forward writes the attempt's buffered chunks and its newest one to the caller.
type Forward struct{ Attempt int }

// Deliver writes the attempt's buffered chunks and the end of its response to the
// caller; Finish follows.
type Deliver struct{ Attempt int }

// Cancel cancels an attempt: its slot request or its call to the upstream.
type Cancel struct{ Attempt int }

// Release returns an attempt's slot to the scheduler.
type Release struct {
	Attempt int
	Outcome wire.Outcome
}

// SetTimer sets the request's timer, which causes a Tick; it replaces an earlier one.
type SetTimer struct{ At Time }

// Finish ends the request; it is emitted exactly once. A nil Err means that the complete
// response was delivered.
type Finish struct{ Err *errkind.Error }

func (RequestSlot) isAction() {}
func (Send) isAction()        {}
func (Buffer) isAction()      {}
func (Drop) isAction()        {}
func (Forward) isAction()     {}
func (Deliver) isAction()     {}
func (Cancel) isAction()      {}
func (Release) isAction()     {}
func (SetTimer) isAction()    {}
func (Finish) isAction()      {}
