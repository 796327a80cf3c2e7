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
	// cutUpstream names the upstream whose answer was cut off; empty for other events.
	cutUpstream string
}

type sessionClosed struct{ ss *entrySession }

type announced struct {
	ann    *upstream.Announcement
	answer chan *wire.AnnounceResponse // takes one answer without blocking
}

type specChanged struct{ spec *wire.Spec }

type suspectsChanged struct{ suspects []*wire.Suspect }

// planned is the planner's answer.
type planned struct{ plan placement.Plan }

// proposed answers a proposal; err nil means that res holds the log's answer.
type proposed struct {
	proposal proposal
	res      *wire.Result
	err      error
}

// logRead answers a reading of the log.
type logRead struct {
	resp *wire.PlacementsResponse
	err  error
}

// upstreamAnswer carries what came of an order or a question sent to an upstream.
type upstreamAnswer struct{ ev orders.Event }

// question asks what is known of a subject.
type question struct {
	subject string
	answer  chan []string
}

func (sessionOpened) isInput()   {}
func (sessionEvent) isInput()    {}
func (sessionClosed) isInput()   {}
func (announced) isInput()       {}
func (specChanged) isInput()     {}
func (suspectsChanged) isInput() {}
func (planned) isInput()         {}
func (proposed) isInput()        {}
func (logRead) isInput()         {}
func (upstreamAnswer) isInput()  {}
func (question) isInput()        {}
