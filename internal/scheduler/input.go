package scheduler

import (
	"gentiankeel/internal/grant"
	"gentiankeel/internal/orders"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// input is one event for the decision goroutine.
type input interface{ isInput() }

type sessionOpened struct {
	ss    *entrySession
	hello *wire.Hello
}

type sessionEvent struct {
	ss *entrySession
	ev grant.Event
	// cutUpstream is the upstream that cut its answer off; empty for other events.
	cutUpstream string
}

type sessionClosed struct{ ss *entrySession }

type announcementInput struct {
	ann   *upstream.Announcement
	reply chan *wire.AnnounceResponse // buffered, so that the one reply does not block
}

type specChanged struct{ spec *wire.Spec }

type suspectsChanged struct{ suspects []*wire.Suspect }

// planResult is a plan from the plan loop.
type planResult struct{ plan placement.Plan }

// proposalResult answers a proposal; result is set if err is nil.
type proposalResult struct {
	proposal proposal
	result   *wire.Result
	err      error
}

// logReadResult answers a read of the log.
type logReadResult struct {
	resp *wire.PlacementsResponse
	err  error
}

// upstreamResult is the outcome of an order or of a state read.
type upstreamResult struct{ ev orders.Event }

// explainRequest requests the reasons of the last plan for a model or "model:adapter".
type explainRequest struct {
	subject string
	reply   chan []string // buffered, so that the one reply does not block
}

func (sessionOpened) isInput()     {}
func (sessionEvent) isInput()      {}
func (sessionClosed) isInput()     {}
func (announcementInput) isInput() {}
func (specChanged) isInput()       {}
func (suspectsChanged) isInput()   {}
func (planResult) isInput()        {}
func (proposalResult) isInput()    {}
func (logReadResult) isInput()     {}
func (upstreamResult) isInput()    {}
func (explainRequest) isInput()    {}
