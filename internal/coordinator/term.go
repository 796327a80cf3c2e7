package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/fleet"
	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// term is a period in which this node is the acting coordinator under one fencing token,
// the Raft term. One goroutine, runLoop, owns the core; the others submit inputs to it and
// carry out its actions.
//
// While inputs queue, heartbeats and configurations are handled first, as upstreams that are not heard
// and configurations that come late do more harm than late reports. Beyond maxBacklog inputs, the core
// leaves out prefetches and estimates of waits.
type term struct {
	server  *Server
	log     *slog.Logger
	token   uint64
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	started time.Time
	urgent  chan any // heartbeats and configurations
	inbox   chan any // all other inputs

	// Owned by runLoop.
	core    *fleet.Core
	entries map[string]*entryStream
	feed    *feed
	relays  *relayLists
	routing routingHistory
	origins *streamorigin.Memory // of streams that entries began
	saver   originSaver
	// silenceChecked is when silent entries were looked for last, and listensSince the time before which
	// the silence of one shows nothing.
	silenceChecked time.Time
	listensSince   time.Time
}

// entryStream is the stream of an attached entry.
type entryStream struct {
	entry       string
	updates     chan *wire.FleetUpdate
	cancel      context.CancelFunc
	heldRouting *wire.RoutingRecord // the configuration that the entry holds or was sent; owned by runLoop
	lastSent    time.Time           // time of the last update; owned by runLoop
	lastHeard   atomic.Int64        // time of the last report, in Unix nanoseconds
	silent      bool                // nothing was heard for entrySilence; owned by runLoop
}

// heard returns the time of the last report.
func (es *entryStream) heard() time.Time { return time.Unix(0, es.lastHeard.Load()) }

func (es *entryStream) recordReport() { es.lastHeard.Store(time.Now().UnixNano()) }

// Inputs of runLoop beside the core's events.
type (
	entryAttached struct {
		es     *entryStream
		report *wire.EntryReport
	}
	entryDetached struct{ es *entryStream }
	entryReported struct {
		es  *entryStream
		rep *wire.EntryReport
	}
	heartbeatReceived struct {
		state *wire.UpstreamState
		done  chan *wire.Departure // buffered; gets what the incarnation has announced so far
	}
	routingChanged struct{}
)

func newTerm(s *Server, token uint64) *term {
	ctx, cancel := context.WithCancel(context.Background())
	fleetSettings := s.o.FleetSettings
	fleetSettings.HoldOrders = s.o.TurnInterval > 0
	return &term{
		server:  s,
		log:     s.log.With("token", token),
		token:   token,
		ctx:     ctx,
		cancel:  cancel,
		started: time.Now(),
		urgent:  make(chan any, inboxSize),
		inbox:   make(chan any, inboxSize),
		core:    fleet.New(fleetSettings),
		entries: map[string]*entryStream{},
		feed:    newFeed(),
		relays:  newRelayLists(),
		origins: streamorigin.NewMemory(maxOrigins),
	}
}

func (t *term) start() {
	t.wg.Add(1)
	go t.runLoop()
}

func (t *term) stop() {
	t.cancel()
	t.wg.Wait()
}

func (t *term) now() fleet.Time { return time.Since(t.started) }

// submit queues an input for runLoop. It returns errTermEnded once the term has ended.
func (t *term) submit(ctx context.Context, in any) error { return t.submitTo(ctx, t.inbox, in) }

func (t *term) submitTo(ctx context.Context, queue chan<- any, in any) error {
	select {
	case queue <- in:
		return nil
	case <-t.ctx.Done():
		return errTermEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// heartbeat returns once the heartbeat is applied and queued for every attached entry. If the upstream
// has announced that it leaves, now or before, that is committed to the replicated log first: the
// successor of this coordinator must not take an older heartbeat for news.
func (t *term) heartbeat(ctx context.Context, s *wire.UpstreamState) error {
	in := heartbeatReceived{s, make(chan *wire.Departure, 1)}
	if err := t.submitTo(ctx, t.urgent, in); err != nil {
		return err
	}
	select {
	case departure := <-in.done:
		if departure == nil && s.Leaves {
			return errUnknownUpstream
		}
		return t.saveDeparture(ctx, departure)
	case <-t.ctx.Done():
		return errTermEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// saveDeparture commits a departure, which may be nil, unless it is committed already.
func (t *term) saveDeparture(ctx context.Context, d *wire.Departure) error {
	control := t.server.o.Control
	if d == nil || !d.Supersedes(control.Departure(d.Upstream, d.BornUnixMs)) {
		return nil
	}
	res, err := control.RecordDeparture(ctx, d)
	if err != nil {
		return errors.Wrap(err, "saving that an upstream leaves")
	}
	if res.Code != wire.ResultCode_RESULT_OK {
		return errors.Errorf("saving that an upstream leaves: %s", res.Detail)
	}
	t.log.Info("Departure saved.", "upstream", d.Upstream, "born", d.BornUnixMs, "gone", d.Gone, "index", res.Index)
	return nil
}

// restoreDepartures passes the saved departures to the core.
func (t *term) restoreDepartures() {
	for _, d := range t.server.o.Control.Departures() {
		t.step(fleet.DepartureRestored{Departure: d})
	}
}

// routingChanged makes runLoop load the configuration that the replica has applied.
func (t *term) routingChanged() {
	if err := t.submitTo(t.ctx, t.urgent, routingChanged{}); err != nil {
		t.log.Debug("The term ended before a routing configuration was published.")
	}
}

// runLoop handles inputs and ticks until the term ends.
func (t *term) runLoop() {
	defer t.wg.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	t.restoreSoftware()
	t.loadRouting()
	t.restoreDepartures()
	t.restoreSuspects()
	for {
		if t.handleUrgent() {
			continue
		}
		select {
		case <-t.ctx.Done():
			return
		case in := <-t.urgent:
			t.handle(in)
		case in := <-t.inbox:
			t.handle(in)
		case <-tick.C:
			backlog := len(t.inbox)
			t.server.m.backlog.Set(float64(backlog))
			t.step(fleet.Tick{Behind: backlog > maxBacklog})
			t.server.m.setSummaries(t.core.Summaries())
			t.sendKeepAlives()
			t.checkSilence()
			t.saveOrigins()
			t.sendRelays()
		}
	}
}

// handleUrgent handles one urgent input if there is one, and reports whether there was.
func (t *term) handleUrgent() bool {
	select {
	case in := <-t.urgent:
		t.handle(in)
		return t.ctx.Err() == nil
	default:
		return false
	}
}

func (t *term) handle(in any) {
	switch in := in.(type) {
	case entryAttached:
		t.attach(in)
	case entryDetached:
		if t.entries[in.es.entry] == in.es {
			delete(t.entries, in.es.entry)
			t.feed.detach(in.es.entry)
			t.relays.detach(in.es.entry)
			t.server.m.withoutPath.Set(float64(t.relays.withoutPath))
			t.log.Info("Entry detached.", "entry", in.es.entry, "version", in.es.heldRouting.GetVersion())
			t.server.m.entries.Set(float64(len(t.entries)))
			t.step(fleet.EntryGone{Entry: in.es.entry})
		}
	case entryReported:
		if t.entries[in.es.entry] == in.es {
			t.reportPath(in.es.entry, in.rep.Path)
			if !in.rep.Changed {
				return
			}
			if added := t.feed.follow(in.es.entry, in.rep.Demand); len(added) > 0 {
				if up := t.feed.followUp(in.es.entry, t.core, t.token, added); up != nil {
					t.enqueue(in.es, up)
				}
			}
			t.reportRuns(in.rep)
			t.reportOrigins(in.es, in.rep)
			t.step(entryReport(in.es.entry, in.rep))
		}
	case heartbeatReceived:
		t.server.m.heartbeats.Inc()
		t.step(fleet.HeartbeatReceived{State: in.state})
		in.done <- t.core.Departure(in.state)
	case routingChanged:
		t.loadRouting()
	case originsSaved:
		t.saver.handleSaved(in)
	case unknownOrigins:
		t.answerUnknown(in)
	case fleet.Event:
		t.step(in)
	}
}

// loadRouting adopts the configuration that the replica has applied, if it is newer, and
// sends it to entries.
func (t *term) loadRouting() {
	rec := t.server.o.Control.Routing()
	if rec == nil || rec.Version <= t.routing.current.GetVersion() {
		return
	}
	config, err := t.server.o.Decode(rec.Document)
	if err != nil {
		t.log.Error("The accepted routing configuration can't be decoded.", "version", rec.Version, "error", err)
		return
	}
	t.routing.add(rec)
	plainServices := map[string]bool{}
	for _, service := range config.Services {
		plainServices[service.Name] = service.Engine == nil
	}
	servicesChanged := t.feed.setPlainServices(plainServices)
	for _, es := range t.entries {
		t.enqueue(es, t.addRouting(es, &wire.FleetUpdate{Term: t.token}))
		if !servicesChanged {
			continue
		}
		if up := t.feed.filter(es.entry, &wire.FleetUpdate{Term: t.token, Upstreams: t.core.Upstreams()}); up != nil {
			t.enqueue(es, up)
		}
	}
	t.log.Info("Routing configuration published.", "version", rec.Version, "index", rec.Index, "entries", len(t.entries))
	t.step(fleet.RoutingChanged{Config: config})
}

// addRouting adds the configuration in force to an update, as a delta to the one that the
// entry holds. If it can't be encoded, the update stays without it.
func (t *term) addRouting(es *entryStream, up *wire.FleetUpdate) *wire.FleetUpdate {
	rec, base, err := t.routing.encodeFor(es.heldRouting)
	if err != nil {
		t.log.Error("The routing configuration can't be encoded for an entry.", "entry", es.entry, "error", err)
		return up
	}
	up.Routing, up.RoutingBase = rec, base
	es.heldRouting = t.routing.current
	return up
}

// step passes an event to the core and carries out its actions. All publications of a
// step are sent as one update.
func (t *term) step(ev fleet.Event) {
	pub := newPublication(t.token)
	for _, a := range t.core.Step(t.now(), ev) {
		switch a := a.(type) {
		case fleet.Publish:
			t.feed.addState(pub, a)
			t.log.Info("Upstream changed.", "upstream", a.State.Id, "phase", a.State.Phase.String(),
				"sequence", a.State.Sequence, "models", len(a.State.Models), "leaves_ms", a.State.LeavesMs, "limit", limitText(a.State.Limit))
		case fleet.PublishLoads:
			pub.update.Loads, pub.update.ReportMs, pub.update.Entries = a.Loads, t.reportIntervalMs(), uint32(len(t.entries))
			pub.everyone = true
		case fleet.PublishWaits:
			t.feed.addWaits(pub, a)
		case fleet.PublishSoftware:
			pub.update.HasSoftware, pub.update.Software, pub.update.SoftwareKnownMs = true, a.Software, knownMs(t.core)
			pub.everyone = true
			for _, s := range a.Software {
				t.log.Info("Software of the fleet.", "service", s.Service, "version", s.Version, "leaving", s.Leaving, "ended_ms", s.EndedMs, "versions", len(a.Software))
			}
		case fleet.RecordSoftware:
			t.recordSoftware(a.Record)
		case fleet.PublishSuspects:
			pub.update.Suspects = t.suspectTraits(a.Suspects)
			pub.everyone = true
			for _, r := range pub.update.Suspects {
				t.log.Info("Suspect trait changed.", "trait", r.Trait, "cleared", r.Cleared, "quarantine_ms", r.QuarantineMs)
			}
		case fleet.GrantPermits:
			t.grantPermits(a)
		case fleet.ReportThrottle:
			t.reportThrottle(a)
		case fleet.SaveLosses:
			t.saveLosses(a.Losses)
		case fleet.SendOrder:
			t.sendOrder(a)
		case fleet.ReadReport:
			t.readReport(a)
		case fleet.TokenSuperseded:
			t.log.Error("A runner has seen a higher fencing token; no more orders are sent in this term.")
		}
	}
	for entry, up := range t.feed.updates(pub, t.core) {
		t.enqueue(t.entries[entry], up)
	}
}

func (t *term) reportIntervalMs() uint32 { return uint32(t.core.ReportInterval().Milliseconds()) }

// enqueue queues an update. If the queue is full, it closes the entry's stream; the entry
// then reattaches with a snapshot.
func (t *term) enqueue(es *entryStream, up *wire.FleetUpdate) {
	select {
	case es.updates <- up:
		es.lastSent = time.Now()
		t.server.m.updates.Inc()
	default:
		t.server.m.slowEntries.Inc()
		t.log.Warn("An entry is too slow; its stream is closed.", "entry", es.entry)
		es.cancel()
	}
}

// sendKeepAlives sends an empty update on idle streams, so that entries can tell them
// from broken ones.
func (t *term) sendKeepAlives() {
	for _, es := range t.entries {
		if time.Since(es.lastSent) >= keepAliveInterval {
			t.enqueue(es, &wire.FleetUpdate{Term: t.token})
		}
	}
}

// attach adds an entry's stream, closes an older one of the same entry, merges the states
// that the entry has, and sends it a snapshot.
func (t *term) attach(in entryAttached) {
	if old := t.entries[in.es.entry]; old != nil {
		old.cancel()
	}
	t.log.Info("Entry attached.", "entry", in.es.entry, "entry_version", in.report.RoutingVersion,
		"version", t.routing.current.GetVersion())
	t.entries[in.es.entry] = in.es
	t.feed.attach(in.es.entry)
	t.server.m.entries.Set(float64(len(t.entries)))
	t.step(fleet.EntrySnapshot{Entry: in.es.entry, States: in.report.Known, Limits: in.report.Limits, Unready: in.report.Unready,
		OfflineUse: in.report.OfflineUse, Entries: in.report.Entries,
		QuotaHistory: time.Duration(in.report.QuotaHistoryMs) * time.Millisecond,
		QuotaStepAge: time.Duration(in.report.QuotaStepAgeMs) * time.Millisecond,
		Software:     in.report.Software})
	t.reportRuns(in.report)
	t.feed.attach(in.es.entry) // the snapshot replaces what the steps sent
	t.feed.follow(in.es.entry, in.report.Demand)
	in.es.heldRouting = &wire.RoutingRecord{Version: in.report.RoutingVersion, Digest: in.report.RoutingDigest}
	up := t.feed.snapshot(in.es.entry, t.core, t.token)
	up.ReportMs, up.Entries, up.Suspects = t.reportIntervalMs(), uint32(len(t.entries)), t.suspectTraits(t.core.Suspects())
	up.HasRelays, up.Relays = true, t.attachRelay(in.es.entry, in.report)
	t.enqueue(in.es, t.addRouting(in.es, up))
	t.reportOrigins(in.es, in.report)
	t.step(entryReport(in.es.entry, in.report))
}

func entryReport(entry string, rep *wire.EntryReport) fleet.EntryReport {
	return fleet.EntryReport{Entry: entry, Demand: rep.Demand, Loads: rep.Loads, Limits: rep.Limits, Permits: rep.Permits, Unready: rep.Unready, Paces: rep.Paces}
}

// attachRelay adds an entry that attaches to the relays, and returns the relays that it is told of.
func (t *term) attachRelay(entry string, first *wire.EntryReport) []string {
	lackedPath := t.relays.lacksPath(entry)
	lacksPath := first.Path == wire.PathState_PATH_NONE
	list := t.relays.attach(entry, first.Relay, !lacksPath)
	if lacksPath != lackedPath {
		t.notePath(entry, !lacksPath)
	}
	return list
}

// reportPath records what an entry reports of its path to upstreams.
func (t *term) reportPath(entry string, path wire.PathState) {
	if path == wire.PathState_PATH_UNCHANGED {
		return
	}
	if hasPath := path == wire.PathState_PATH_DIRECT; t.relays.setPath(entry, hasPath) {
		t.notePath(entry, hasPath)
	}
}

// notePath logs and counts that an entry's path to upstreams has come or gone.
func (t *term) notePath(entry string, hasPath bool) {
	t.server.m.withoutPath.Set(float64(t.relays.withoutPath))
	if hasPath {
		t.log.Info("Entry has a path to upstreams again.", "entry", entry)
		return
	}
	t.log.Warn("Entry lost its path to upstreams.", "entry", entry)
}

// sendRelays tells the entries whose relays have changed.
func (t *term) sendRelays() {
	for entry, list := range t.relays.refresh() {
		t.enqueue(t.entries[entry], &wire.FleetUpdate{Term: t.token, HasRelays: true, Relays: list})
	}
}

// reportOrigins records the streams that an entry began and answers what it asks about others.
func (t *term) reportOrigins(es *entryStream, rep *wire.EntryReport) {
	for _, o := range rep.Begun {
		t.recordOrigin(streamorigin.Key(o.Request), o.Software)
	}
	if len(rep.OriginsAsked) == 0 {
		return
	}
	up := &wire.FleetUpdate{Term: t.token}
	var unknown []uint64
	for _, request := range rep.OriginsAsked {
		if software, ok := t.origins.Get(streamorigin.Key(request)); ok {
			up.Origins = append(up.Origins, &wire.StreamOrigin{Request: request, Software: software})
		} else {
			unknown = append(unknown, request)
		}
	}
	if len(up.Origins) > 0 {
		t.enqueue(es, up)
	}
	t.confirmUnknown(es, unknown)
}

// sendOrder sends an order to a runner, unless the leader lease has run out meanwhile, and
// passes the result to the core.
func (t *term) sendOrder(a fleet.SendOrder) {
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		defer cancel()
		began, result := time.Now(), fleet.OrderNotSent
		var answer fleet.Answer
		var err error
		if st := t.server.o.Control.Status(); holdsLeaderLease(st) && st.Term == t.token {
			result, answer, err = t.server.o.Runners.SendOrder(ctx, Runner{a.Upstream, a.Address}, t.token, a.Order)
			t.server.orderEnded()
		}
		t.server.m.orders.WithLabelValues(result.String()).Inc()
		t.log.Info("Order sent.", "upstream", a.Upstream, "unload", a.Order.Unload, "model", a.Order.Model,
			"adapter", a.Order.Adapter, "expected", a.Order.ExpectedSequence, "reason", a.Order.Reason,
			"result", result.String(), "error", errText(err))
		t.submitResult(fleet.OrderAnswered{Upstream: a.Upstream, BornUnixMs: a.BornUnixMs, Result: result, Answer: answer, Took: time.Since(began)})
	})
}

// readReport reads a runner's report and passes it to the core.
func (t *term) readReport(a fleet.ReadReport) {
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		defer cancel()
		t.server.m.reports.Inc()
		began := time.Now()
		rep, answer, err := t.server.o.Runners.ReadReport(ctx, Runner{a.Upstream, a.Address})
		if err != nil {
			t.log.Warn("Reading a runner's report failed.", "upstream", a.Upstream, "error", err)
		}
		t.submitResult(fleet.ReportReceived{Upstream: a.Upstream, BornUnixMs: a.BornUnixMs, Report: rep, Failed: err != nil, Answer: answer, Took: time.Since(began)})
	})
}

func (t *term) submitResult(ev fleet.Event) {
	if err := t.submit(t.ctx, ev); err != nil {
		t.log.Debug("The term ended before a runner's answer was handled.")
	}
}

// Attach implements wire.CoordinatorServer.
func (s *Server) Attach(stream grpc.BidiStreamingServer[wire.EntryReport, wire.FleetUpdate]) error {
	t, err := s.currentTerm()
	if err != nil {
		return err
	}
	report, err := stream.Recv()
	if err != nil {
		return err
	}
	if report.Entry == "" {
		return status.Error(codes.InvalidArgument, "the first report must name the entry")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	es := &entryStream{entry: report.Entry, updates: make(chan *wire.FleetUpdate, streamQueueSize), cancel: cancel}
	es.recordReport()
	if err := t.submit(ctx, entryAttached{es, report}); err != nil {
		return s.notActingError()
	}
	go t.receiveReports(ctx, es, stream)
	for {
		select {
		case up := <-es.updates:
			if err := stream.Send(up); err != nil {
				return err
			}
		case <-ctx.Done():
			return status.Error(codes.Unavailable, "the stream ended")
		case <-t.ctx.Done():
			return s.notActingError()
		}
	}
}

// receiveReports submits an entry's reports until its stream ends.
func (t *term) receiveReports(ctx context.Context, es *entryStream, stream grpc.BidiStreamingServer[wire.EntryReport, wire.FleetUpdate]) {
	defer es.cancel()
	for {
		rep, err := stream.Recv()
		if err != nil {
			break
		}
		es.recordReport()
		if (rep.Changed || rep.Path != wire.PathState_PATH_UNCHANGED) && t.submit(ctx, entryReported{es, rep}) != nil {
			break
		}
	}
	if err := t.submit(t.ctx, entryDetached{es}); err != nil {
		t.log.Debug("The term ended before an entry was detached.")
	}
}
