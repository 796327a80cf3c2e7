package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/httpserver"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/routing"
)

const (
	// maxAsks bounds the upstreams asked for by one request, with those that refused it.
	maxAsks = 6
	// minServeStream and minServeCall are the shortest times in which an upstream can
	// give a useful answer; a request with less time left is not sent.
	minServeStream = 150 * time.Millisecond
	minServeCall   = 10 * time.Millisecond
	// outputShare is the share of the most tokens that a request is expected to generate.
	outputShare = 0.6
	// maxAnswerBytes bounds an answer that is no stream.
	maxAnswerBytes = 16 << 20
)

// exchange is one request and its one final answer.
type exchange struct {
	s       *Server
	w       http.ResponseWriter
	r       *http.Request
	body    []byte
	meta    Meta
	route   *routing.Route
	service string
	version uint64 // of the configuration
	entered time.Duration
	cfg     retry.Config
	core    *retry.Request

	todo    retry.Action // an Ask or a Send that is to be done next
	grants  map[int]*granted
	newest  event         // the stream's event that the core decides about
	whole   *wholeAnswer  // the answer that is no stream
	failure *wholeAnswer  // the upstream's own failure, passed on when nothing better comes
	begun   bool          // the answer's head is written
	passed  bool          // an event was passed on
	lastID  uint64        // position of the last event passed on
	hasID   bool          // lastID is set
	first   time.Duration // when the first byte was written
	last    time.Duration // when the newest event was passed on
	maxGap  time.Duration // longest pause between two events
	final   *errkind.Error
	waited  time.Duration // for upstreams, over all attempts
	sent    int
	used    []string // upstreams, in order
}

// serve answers one request of a caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.m.inFlight.Inc()
	defer s.m.inFlight.Dec()
	x := &exchange{s: s, w: w, r: r, entered: s.now(), grants: map[int]*granted{}}
	x.meta = s.o.Dialect.Parse(r)
	if err := x.admit(); err != nil {
		x.finish(err)
	} else {
		x.run()
	}
	x.note()
}

// admit finds the request's route and reads its body.
func (x *exchange) admit() *errkind.Error {
	s := x.s
	if s.refusing.Load() {
		x.closeAfter()
		return errkind.New(errkind.Draining, "this entry shuts down").WithRan(errkind.RanNo)
	}
	table := s.awaitConfig(x.r.Context(), configShare(x.meta.Wait))
	if table == nil {
		return errkind.New(errkind.StaleConfig, "no configuration is in force here").WithRan(errkind.RanNo)
	}
	x.version = table.Config.Version
	x.route = table.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return errkind.New(errkind.NotFound, "no route for this host and path").WithRan(errkind.RanNo)
	}
	body, err := io.ReadAll(x.r.Body)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "reading the body").WithRan(errkind.RanNo)
	}
	if most := table.Config.Limits.MaxBodyBytes; most > 0 && len(body) > most {
		return errkind.New(errkind.TooLarge, "the body has %d bytes, %d are allowed", len(body), most).WithRan(errkind.RanNo)
	}
	x.body = body
	x.service = x.route.Pick(x.meta.ID)
	if s.draining.Load() {
		x.closeAfter()
	}
	return nil
}

// configShare is the part of a caller's time that may pass before a request has a route.
func configShare(wait time.Duration) time.Duration {
	if wait <= 0 {
		return DefaultConfigWait
	}
	return wait / 2
}

// closeAfter ends the caller's connection after this answer.
func (x *exchange) closeAfter() {
	if a, ok := x.w.(httpserver.Aborter); ok {
		a.CloseAfter()
	}
}

// run takes the request through its attempts. One goroutine does it all: the core says
// what is next, and each step blocks until it is done.
func (x *exchange) run() {
	wait := x.route.Timeout
	if x.meta.Wait > 0 {
		wait = min(wait, x.meta.Wait)
	}
	b := x.s.budget(x.service)
	b.RecordRequest()
	x.cfg = retry.Config{
		Deadline:        x.entered + wait,
		Idempotent:      x.route.Idempotent(),
		MaxAttempts:     max(x.route.MaxAttempts, 1),
		MaxSlotRequests: maxAsks,
		ExemptNotRun:    true,
	}
	x.core = retry.New(x.cfg, b)
	x.step(retry.Start{})
	for !x.core.Done() {
		todo := x.todo
		x.todo = nil
		switch todo := todo.(type) {
		case retry.RequestSlot:
			x.step(x.await(todo))
		case retry.Send:
			x.step(x.send(todo))
		default:
			panic(&retry.InvariantError{Detail: "request " + x.meta.ID + " has no final answer and nothing left to do"})
		}
	}
}

// step takes an event through the core and does at once what does not block.
func (x *exchange) step(ev retry.Event) {
	for _, a := range x.core.Step(x.s.now(), ev) {
		switch a := a.(type) {
		case retry.RequestSlot, retry.Send:
			x.todo = a
		case retry.Forward:
			x.forward()
		case retry.Release:
			x.release(a.Attempt)
		case retry.Finish:
			x.finish(a.Err)
		}
	}
}

// interrupted returns the event that ends a wait: the caller has left, or the deadline
// has passed.
func (x *exchange) interrupted() retry.Event {
	if x.r.Context().Err() != nil {
		return retry.CallerGone{}
	}
	if early := x.cfg.Deadline - x.s.now(); early > 0 {
		time.Sleep(early) // the timer's clock is read at another moment
	}
	return retry.Tick{}
}

func (x *exchange) deadline() (context.Context, context.CancelFunc) {
	return context.WithTimeout(x.r.Context(), x.cfg.Deadline-x.s.now())
}
