package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/fleet"
	"gentiankeel/internal/wire"
)

// term is the time in which this node acts under one fencing token. One goroutine owns
// the core; the others carry events in and actions out.
type term struct {
	s      *Server
	log    *slog.Logger
	token  uint64
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	begin  time.Time
	inbox  chan any

	// Owned by the decision goroutine.
	core    *fleet.Core
	entries map[string]*entryStream
	docs    documents
	plain   map[string]bool // services without models, of the configuration in force
}

// entryStream is one attached entry.
type entryStream struct {
	entry   string
	updates chan *wire.FleetUpdate
	cancel  context.CancelFunc
	follows interest            // owned by the decision goroutine
	holds   *wire.RoutingRecord // the configuration that it was sent or came with
	told    time.Time           // when it was last sent anything
}

// Inputs of the decision goroutine beside the core's events.
type (
	attached struct {
		es    *entryStream
		hello *wire.EntryReport
	}
	detached      struct{ es *entryStream }
	reportedEntry struct {
		es  *entryStream
		rep *wire.EntryReport
	}
	heardUpstream struct {
		state *wire.UpstreamState
		done  chan struct{}
	}
	routingChanged struct{}
)

func newTerm(s *Server, token uint64) *term {
	ctx, cancel := context.WithCancel(context.Background())
	return &term{
		s:       s,
		log:     s.log.With("token", token),
		token:   token,
		ctx:     ctx,
		cancel:  cancel,
		begin:   time.Now(),
		inbox:   make(chan any, inboxSize),
		core:    fleet.New(s.o.Fleet),
		entries: map[string]*entryStream{},
	}
}

func (t *term) run() {
	t.done.Add(1)
	go t.decide()
}

func (t *term) stop() {
	t.cancel()
	t.done.Wait()
}

func (t *term) now() fleet.Time { return time.Since(t.begin) }

// submit hands an input to the decision goroutine.
func (t *term) submit(ctx context.Context, in any) error {
	select {
	case t.inbox <- in:
		return nil
	case <-t.ctx.Done():
		return errTermEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// heard returns once the heartbeat is in force and sent to every entry.
func (t *term) heard(ctx context.Context, s *wire.UpstreamState) error {
	in := heardUpstream{s, make(chan struct{})}
	if err := t.submit(ctx, in); err != nil {
		return err
	}
	select {
	case <-in.done:
		return nil
	case <-t.ctx.Done():
		return errTermEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *term) routingChanged() {
	if err := t.submit(t.ctx, routingChanged{}); err != nil {
		t.log.Debug("The term ended before a configuration was published.")
	}
}

func (t *term) decide() {
	defer t.done.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	t.takeRouting()
	for {
		select {
		case <-t.ctx.Done():
			return
		case in := <-t.inbox:
			t.handle(in)
		case <-tick.C:
			t.step(fleet.Tick{})
			t.sendBeat()
		}
	}
}

func (t *term) handle(in any) {
	switch in := in.(type) {
	case attached:
		t.attach(in)
	case detached:
		if t.entries[in.es.entry] == in.es {
			delete(t.entries, in.es.entry)
			t.s.m.entries.Set(float64(len(t.entries)))
			t.step(fleet.EntryGone{Entry: in.es.entry})
		}
	case reportedEntry:
		if t.entries[in.es.entry] == in.es {
			if in.es.follows.learn(in.rep.Demand) {
				t.tell(in.es, &wire.FleetUpdate{Term: t.token, Upstreams: t.core.Fleet()})
			}
			t.step(fleet.EntryReport{Entry: in.es.entry, Demand: in.rep.Demand, Loads: in.rep.Loads})
		}
	case heardUpstream:
		t.s.m.heartbeats.Inc()
		t.step(fleet.HeartbeatReceived{State: in.state})
		close(in.done)
	case routingChanged:
		t.takeRouting()
	case fleet.Event:
		t.step(in)
	}
}

// takeRouting puts the configuration in force that the replica has applied.
func (t *term) takeRouting() {
	rec := t.s.o.Control.Routing()
	if rec == nil || rec.Version <= t.docs.current.GetVersion() {
		return
	}
	config, err := t.s.o.Decode(rec.Document)
	if err != nil {
		t.log.Error("The accepted configuration can't be read.", "version", rec.Version, "error", err)
		return
	}
	t.docs.put(rec)
	t.plain = map[string]bool{}
	for _, service := range config.Services {
		t.plain[service.Name] = service.Engine == nil
	}
	for _, es := range t.entries {
		es.follows.plain = t.plain
		t.push(es, t.withRouting(es, &wire.FleetUpdate{Term: t.token}))
	}
	t.step(fleet.RoutingChanged{Config: config})
}

// withRouting adds the configuration in force to an update, as the entry needs it.
func (t *term) withRouting(es *entryStream, up *wire.FleetUpdate) *wire.FleetUpdate {
	rec, base, err := t.docs.forHolder(es.holds)
	if err != nil {
		t.log.Error("The configuration in force can't be sent.", "entry", es.entry, "error", err)
		return up
	}
	up.Routing, up.RoutingBase = rec, base
	es.holds = t.docs.current
	return up
}

// step takes one event through the core and carries its actions out. What entries are
// told in one step goes out as one update.
func (t *term) step(ev fleet.Event) {
	up := &wire.FleetUpdate{Term: t.token}
	told := false
	for _, a := range t.core.Step(t.now(), ev) {
		switch a := a.(type) {
		case fleet.Publish:
			up.Upstreams = append(up.Upstreams, a.State)
			told = true
			t.log.Info("Upstream changed.", "upstream", a.State.Id, "phase", a.State.Phase.String(),
				"sequence", a.State.Sequence, "models", len(a.State.Models), "leaves_ms", a.State.LeavesMs)
		case fleet.PublishLoads:
			up.Loads, up.ReportMs = a.Loads, t.reportMs()
			told = true
		case fleet.PublishWaits:
			up.Waits, up.HasWaits = a.Waits, true
			told = true
		case fleet.SendOrder:
			t.order(a)
		case fleet.ReadReport:
			t.read(a)
		case fleet.EndTerm:
			t.log.Error("A higher fencing token is in use; no more orders are sent in this term.")
		}
	}
	if told {
		t.broadcast(up)
	}
}

func (t *term) reportMs() uint32 { return uint32(t.core.ReportInterval().Milliseconds()) }

// broadcast tells every entry what concerns it.
func (t *term) broadcast(up *wire.FleetUpdate) {
	for _, es := range t.entries {
		t.tell(es, up)
	}
}

func (t *term) tell(es *entryStream, up *wire.FleetUpdate) {
	if own := es.follows.update(up); own != nil {
		t.push(es, own)
	}
}

// push queues an update; an entry that is too slow is cut off and attaches again.
func (t *term) push(es *entryStream, up *wire.FleetUpdate) {
	select {
	case es.updates <- up:
		es.told = time.Now()
		t.s.m.updates.Inc()
	default:
		t.s.m.cutOff.Inc()
		t.log.Warn("An entry is too slow and is cut off.", "entry", es.entry)
		es.cancel()
	}
}

// sendBeat lets entries tell a quiet stream from a dead one.
func (t *term) sendBeat() {
	for _, es := range t.entries {
		if time.Since(es.told) >= beatInterval {
			t.push(es, &wire.FleetUpdate{Term: t.token})
		}
	}
}

func (t *term) attach(in attached) {
	if old := t.entries[in.es.entry]; old != nil {
		old.cancel()
	}
	in.es.follows = newInterest(t.plain)
	t.entries[in.es.entry] = in.es
	t.s.m.entries.Set(float64(len(t.entries)))
	t.step(fleet.EntrySnapshot{States: in.hello.Known})
	in.es.follows = newInterest(t.plain) // the snapshot holds all, whatever was told in that step
	in.es.follows.learn(in.hello.Demand)
	in.es.holds = &wire.RoutingRecord{Version: in.hello.RoutingVersion, Digest: in.hello.RoutingDigest}
	t.push(in.es, t.withRouting(in.es, &wire.FleetUpdate{Term: t.token, Snapshot: true,
		Upstreams: in.es.follows.changes(t.core.Fleet()), ReportMs: t.reportMs()}))
	t.step(fleet.EntryReport{Entry: in.es.entry, Demand: in.hello.Demand, Loads: in.hello.Loads})
}

// order sends an order unless the lease has run out meanwhile.
func (t *term) order(a fleet.SendOrder) {
	t.done.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		defer cancel()
		result := fleet.OrderNotSent
		var err error
		if st := t.s.o.Control.Status(); acts(st) && st.Term == t.token {
			result, err = t.s.o.Runners.Order(ctx, Runner{a.Upstream, a.Address}, t.token, a.Order)
		}
		t.s.m.orders.WithLabelValues(result.String()).Inc()
		t.log.Info("Order sent.", "upstream", a.Upstream, "unload", a.Order.Unload, "model", a.Order.Model,
			"adapter", a.Order.Adapter, "expected", a.Order.Expected, "reason", a.Order.Reason,
			"result", result.String(), "error", errText(err))
		t.answer(fleet.OrderAnswered{Upstream: a.Upstream, Born: a.Born, Result: result})
	})
}

func (t *term) read(a fleet.ReadReport) {
	t.done.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		defer cancel()
		t.s.m.reads.Inc()
		rep, err := t.s.o.Runners.Report(ctx, Runner{a.Upstream, a.Address})
		if err != nil {
			t.log.Warn("A runner gave no report.", "upstream", a.Upstream, "error", err)
		}
		t.answer(fleet.ReportReceived{Upstream: a.Upstream, Born: a.Born, Report: rep, Failed: err != nil})
	})
}

func (t *term) answer(ev fleet.Event) {
	if err := t.submit(t.ctx, ev); err != nil {
		t.log.Debug("The term ended before an answer came.")
	}
}

// Attach implements wire.CoordinatorServer.
func (s *Server) Attach(stream grpc.BidiStreamingServer[wire.EntryReport, wire.FleetUpdate]) error {
	t, err := s.acting()
	if err != nil {
		return err
	}
	hello, err := stream.Recv()
	if err != nil {
		return err
	}
	if hello.Entry == "" {
		return status.Error(codes.InvalidArgument, "the first report must name the entry")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	es := &entryStream{entry: hello.Entry, updates: make(chan *wire.FleetUpdate, streamQueue), cancel: cancel}
	if err := t.submit(ctx, attached{es, hello}); err != nil {
		return s.notActing()
	}
	go t.receive(ctx, es, stream)
	for {
		select {
		case up := <-es.updates:
			if err := stream.Send(up); err != nil {
				return err
			}
		case <-ctx.Done():
			return status.Error(codes.Unavailable, "the stream ended")
		case <-t.ctx.Done():
			return s.notActing()
		}
	}
}

// receive passes an entry's reports on until its stream ends.
func (t *term) receive(ctx context.Context, es *entryStream, stream grpc.BidiStreamingServer[wire.EntryReport, wire.FleetUpdate]) {
	defer es.cancel()
	for {
		rep, err := stream.Recv()
		if err != nil {
			break
		}
		if rep.Changed && t.submit(ctx, reportedEntry{es, rep}) != nil {
			break
		}
	}
	if err := t.submit(t.ctx, detached{es}); err != nil {
		t.log.Debug("The term ended before an entry's stream.")
	}
}
