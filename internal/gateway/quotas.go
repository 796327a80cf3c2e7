package gateway

import (
	"maps"
	"slices"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// Results of requests for units, in metrics.
const (
	unitsAdmitted  = "admitted"
	unitsExceeded  = "exceeded"
	unitsNoContact = "no_coordinator"
	unitsCancelled = "cancelled"
)

// unitCost returns the units that the request costs its organisation.
func (x *exchange) unitCost(o *routing.Organisation) int {
	return o.Quota.Cost(x.info.PromptTokens+x.info.MaxOutputTokens, x.info.HasTokens)
}

// awaitUnits takes the units of the request from its organisation's quota before the first attempt, and
// waits for them if there are none. It returns the event that ends the request, nil if it may go on.
func (x *exchange) awaitUnits(attempt int, o *routing.Organisation) retry.Event {
	s := x.server
	if o == nil || x.unitsID != 0 || !s.hasQuotas.Load() {
		return nil
	}
	x.unitsID = s.nextRequestID.Add(1)
	start := s.now()
	req := ratelimit.UnitRequest{ID: x.unitsID, Organisation: o.Name, Units: x.unitCost(o), Deadline: x.cfg.Deadline}
	ctx, cancel := x.withDeadline()
	defer cancel()
	ch := s.requestUnits(req)
	var d ratelimit.UnitDecision
	select {
	case d = <-ch:
	case <-ctx.Done():
		s.cancelUnits(x.unitsID)
		x.unitWait = s.now() - start
		s.m.units.WithLabelValues(unitsCancelled).Add(float64(req.Units))
		return x.interruption()
	}
	x.unitWait = s.now() - start
	s.m.unitWait.Observe(x.unitWait.Seconds())
	if d.Admitted {
		s.m.units.WithLabelValues(unitsAdmitted).Add(float64(req.Units))
		return nil
	}
	result, reason := unitsExceeded, "the quota of organisation %s is used up"
	if d.NoContact {
		result, reason = unitsNoContact, "the quota of organisation %s can't be asked for without a coordinator"
	}
	s.m.units.WithLabelValues(result).Add(float64(req.Units))
	s.log.Info("Request refused by its quota.", "request", x.info.ID, "organisation", o.Name, "units", req.Units, "waited", x.unitWait,
		"retry_after", d.RetryAfter, "no_coordinator", d.NoContact, "coordinator_age", s.coordinatorAge())
	err := errkind.New(errkind.QuotaExceeded, reason, o.Name).WithRan(errkind.RanNo).WithRetryAfter(d.RetryAfter)
	return retry.Refused{Attempt: attempt, Err: err}
}

// unitsSent records that an attempt is being sent, unitsNotRun that it did not run, and returnUnits that
// no more are sent.
func (x *exchange) unitsSent() { x.changeUnits((*ratelimit.Gate).Sent) }

func (x *exchange) unitsNotRun() { x.changeUnits((*ratelimit.Gate).NotRun) }

func (x *exchange) returnUnits() { x.changeUnits((*ratelimit.Gate).Finish) }

func (x *exchange) changeUnits(change func(*ratelimit.Gate, uint64)) {
	if x.unitsID == 0 {
		return
	}
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.gate, x.unitsID)
	s.signalQuotas()
}

// requestUnits asks for the units of a request. The channel receives the one decision.
func (s *Server) requestUnits(req ratelimit.UnitRequest) <-chan ratelimit.UnitDecision {
	ch := make(chan ratelimit.UnitDecision, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.units[req.ID] = ch
	s.deliverUnits(s.gate.Request(s.now(), req))
	return ch
}

// cancelUnits ends the wait of a request.
func (s *Server) cancelUnits(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.units, id)
	s.gate.Cancel(id)
	s.deliverUnits(nil)
}

// deliverUnits sends decisions to the requests that wait for them, and signals a report if there is
// something to tell. mu must be held.
func (s *Server) deliverUnits(list []ratelimit.UnitDecision) {
	for _, d := range list {
		if ch := s.units[d.ID]; ch != nil {
			delete(s.units, d.ID)
			ch <- d
		}
	}
	s.m.unitsWaiting.Set(float64(s.gate.Waiting()))
	s.signalQuotas()
}

func (s *Server) signalQuotas() {
	if s.gate.HasChanges() {
		s.signalReport()
	}
}

// tickQuotas re-evaluates the requests that wait for units. mu must be held.
func (s *Server) tickQuotas() {
	if s.hasQuotas.Load() {
		s.deliverUnits(s.gate.Tick(s.now()))
	}
}

// loseQuotas records that there is no coordinator any more that could grant units.
func (s *Server) loseQuotas() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverUnits(s.gate.Lost(s.now()))
}

// attachQuotas adds the demand for units to the first report to a coordinator. mu must be held.
func (s *Server) attachQuotas(rep *wire.EntryReport) {
	demands, report := s.gate.Attach(s.now())
	if !s.hasQuotas.Load() {
		return
	}
	rep.Permits = append(rep.Permits, quotaDemands(demands)...)
	use := map[string]*wire.OfflineUse{}
	for organisation, u := range report.Recent {
		use[organisation] = &wire.OfflineUse{Organisation: organisation, Sent: u.Steps, InUse: u.InUse}
	}
	for organisation, units := range report.Used {
		if use[organisation] == nil {
			use[organisation] = &wire.OfflineUse{Organisation: organisation}
		}
		use[organisation].Units = units
	}
	rep.OfflineUse = slices.AppendSeq(rep.OfflineUse, maps.Values(use))
	rep.Entries = report.Entries
	rep.QuotaHistoryMs = uint32(report.History.Milliseconds())
	rep.QuotaStepAgeMs = uint32(report.StepAge.Milliseconds())
}

// applyQuotas adopts what an update of the coordinator says about units. mu must be held.
func (s *Server) applyQuotas(up *wire.FleetUpdate) {
	s.gate.Heard(s.now(), int(up.Entries))
	var grants []ratelimit.Grant
	for _, g := range up.Permits {
		if g.Organisation != "" {
			grants = append(grants, ratelimit.Grant{Organisation: g.Organisation, Granted: g.Granted, Claimants: g.Claimants,
				Wait: time.Duration(g.WaitMs) * time.Millisecond, Interval: time.Duration(g.IntervalMs) * time.Millisecond})
		}
	}
	if len(grants) > 0 {
		s.deliverUnits(s.gate.Grant(s.now(), time.Duration(up.SentMs)*time.Millisecond, grants))
	}
}

// quotaDemands returns demands for units as they are reported.
func quotaDemands(list []ratelimit.UnitDemand) []*wire.PermitDemand {
	var out []*wire.PermitDemand
	for _, d := range list {
		out = append(out, &wire.PermitDemand{Organisation: d.Organisation, Wanted: d.Wanted, Urgent: d.Urgent, First: d.First,
			Known: d.Known, Held: d.Held, Returned: d.Returned, Charged: d.Charged})
	}
	return out
}
