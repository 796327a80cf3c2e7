package suspect

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxOwnLosses bounds the lost runs that a Watch keeps.
	maxOwnLosses = 512
	// answerTTL is how long an answer is remembered, in case one of its traits becomes suspect.
	answerTTL = 30 * time.Second
	// unsettledTTL is how long an unsettled run is remembered, in case its upstream turns out
	// to have ended. It exceeds the silence after which an upstream is forgotten.
	unsettledTTL = 30 * time.Second
	// releaseSpread is the time over which entries let requests with a trait run again after its
	// quarantine. Callers come back at its end, and each run may end an upstream.
	releaseSpread = 10 * time.Second
	// trialInterval is the time between such runs at one entry until one is answered.
	trialInterval = 2 * time.Second
	// maxOwnAnswers bounds the answers that are remembered.
	maxOwnAnswers = 1024
)

// Watch is one entry's part: it keeps the lost runs and the answers that this entry saw, for
// reports, and the suspicions that the coordinator published. While there is no coordinator, a
// tally of its own losses decides. It does no I/O and is not safe for concurrent use.
type Watch struct {
	own       []ownLoss            // oldest first
	unsettled []unsettledRun       // oldest first
	answers   []answer             // oldest first
	suspects  map[Trait]Suspicion  // as published
	pending   map[Trait][]answerAt // answers to requests with suspect traits that are not reported yet
	// reportedUntil holds, by trait, the time of the newest answer that this coordinator was told.
	reportedUntil map[Trait]Time
	local         *Tally
	localSuspects map[Trait]bool // suspect by the losses of this entry alone
	entry         string         // id of this entry
	trials        map[Trait]Time // when the last run with a trait began after its quarantine
	released      map[Trait]bool // traits with an answer after their quarantine
}

type ownLoss struct {
	LostRun
	from, at Time
	reported bool
}

// UnsettledRun is a run that may have ended its upstream, which only the end of its incarnation
// shows: it was given up without output, or its connection was closed just after the answer.
type UnsettledRun struct {
	Incarnation
	Address    string // of the upstream
	Request    *Request
	Software   string // version of the upstream's software
	Began, At  Time   // when it was sent and given up
	LastOutput Time   // when the last event of its response was received; 0: none was
}

type unsettledRun struct {
	UnsettledRun
	reported bool
}

type answer struct {
	request     *Request
	incarnation Incarnation
	software    string
	at          Time
}

// NewWatch returns a watch of an entry, without suspects.
func NewWatch(entry string) *Watch {
	return &Watch{suspects: map[Trait]Suspicion{}, pending: map[Trait][]answerAt{}, reportedUntil: map[Trait]Time{}, local: NewTally(), localSuspects: map[Trait]bool{},
		entry: entry, trials: map[Trait]Time{}, released: map[Trait]bool{}}
}

// RecordLoss records the end of a run without an answer. The upstream ended within span before
// now. Of the same loss only the newest is kept; beyond maxOwnLosses the oldest one is dropped.
func (w *Watch) RecordLoss(now Time, l LostRun, span time.Duration) {
	w.addLoss(now, ownLoss{LostRun: l, from: now - span, at: now})
}

func (w *Watch) addLoss(now Time, l ownLoss) {
	w.own = slices.DeleteFunc(w.own, func(o ownLoss) bool { return o.Incarnation == l.Incarnation && o.Traits[0] == l.Traits[0] })
	if len(w.own) >= maxOwnLosses {
		w.own = slices.Delete(w.own, 0, 1)
	}
	w.own = append(w.own, l)
	w.local.RecordLoss(now, LossReport{LostRun: l.LostRun, Age: now - l.at, Span: l.at - l.from})
	for _, s := range w.local.TakeChanges() {
		w.tellLocal(now, s)
	}
}

// tellLocal tells the own tally of the answers to requests with a trait from before the trait became
// suspect there.
func (w *Watch) tellLocal(now Time, s Suspicion) {
	if s.Cleared {
		delete(w.localSuspects, s.Trait)
		return
	}
	if w.localSuspects[s.Trait] {
		return
	}
	w.localSuspects[s.Trait] = true
	earlier := AnswerReport{Trait: s.Trait}
	for _, a := range w.answers {
		if slices.Contains(a.request.TraitsOn(a.software), s.Trait) {
			earlier.Answers = append(earlier.Answers, AnswerAge{a.incarnation, now - a.at})
		}
	}
	w.local.RecordAnswers(now, earlier)
}

// RecordUnsettled records a run that is a loss if its incarnation turns out to have ended.
func (w *Watch) RecordUnsettled(r UnsettledRun) {
	w.unsettled = slices.DeleteFunc(w.unsettled, func(g unsettledRun) bool { return r.At-g.At >= unsettledTTL })
	if len(w.unsettled) >= maxOwnLosses {
		w.unsettled = slices.Delete(w.unsettled, 0, 1)
	}
	w.unsettled = append(w.unsettled, unsettledRun{UnsettledRun: r})
}

// HasUnsettled reports whether there is any unsettled run.
func (w *Watch) HasUnsettled() bool { return len(w.unsettled) > 0 }

// IncarnationsEnded notes that all incarnations of an upstream that started before a time have ended,
// for coordinators that have not seen their ends.
func (w *Watch) IncarnationsEnded(upstream string, beforeUnixMs int64) {
	for i := range w.own {
		if l := &w.own[i]; l.Upstream == upstream && l.BornUnixMs < beforeUnixMs {
			l.Ended = true
		}
	}
}

// Ended turns the unsettled runs on incarnations which have ended into losses.
func (w *Watch) Ended(now Time, hasEnded func(*UnsettledRun) bool) {
	w.unsettled = slices.DeleteFunc(w.unsettled, func(g unsettledRun) bool {
		if now-g.At < unsettledTTL && hasEnded(&g.UnsettledRun) {
			l := w.lossOf(&g.UnsettledRun)
			l.Ended = true
			w.addLoss(now, l)
			return true
		}
		return now-g.At >= unsettledTTL
	})
}

// lossOf returns an unsettled run as the loss that it may be.
func (w *Watch) lossOf(g *UnsettledRun) ownLoss {
	aliveAt := g.LastOutput
	for _, a := range w.answers {
		if a.incarnation == g.Incarnation && a.at <= g.At {
			aliveAt = max(aliveAt, a.at)
		}
	}
	if aliveAt == 0 {
		aliveAt = g.At
	}
	return ownLoss{LostRun: LostRun{Incarnation: g.Incarnation, Traits: g.Request.Traits(), Software: g.Software, Inferred: true, Ran: g.At - g.Began},
		from: aliveAt, at: g.At}
}

// Alive drops the losses on incarnations that are known to serve long after, so that no other
// coordinator counts them.
func (w *Watch) Alive(now Time, isAlive func(Incarnation) bool) {
	w.own = slices.DeleteFunc(w.own, func(l ownLoss) bool {
		if now-l.at < SurvivalDelay || !isAlive(l.Incarnation) {
			return false
		}
		w.local.Alive(now, l.Incarnation)
		return true
	})
}

// RecordAnswer records that an upstream answered a request with success, and reports whether the
// coordinator has to know.
func (w *Watch) RecordAnswer(now Time, r *Request, inc Incarnation, software string) bool {
	w.answers = slices.DeleteFunc(w.answers, func(a answer) bool { return now-a.at >= answerTTL })
	if len(w.answers) >= maxOwnAnswers {
		w.answers = slices.Delete(w.answers, 0, 1)
	}
	a := answer{r, inc, software, now}
	w.answers = append(w.answers, a)
	if len(w.localSuspects) > 0 {
		for _, t := range r.TraitsOn(software) {
			if w.localSuspects[t] {
				w.local.RecordAnswers(now, AnswerReport{t, []AnswerAge{{Incarnation: inc}}})
			}
		}
	}
	return w.noteSuspects(a)
}

// noteSuspects notes an answer for the next report if any of its traits is suspect. One on trial is released.
func (w *Watch) noteSuspects(a answer) bool {
	if len(w.suspects) == 0 {
		return false
	}
	noted := false
	for _, t := range a.request.TraitsOn(a.software) {
		if _, ok := w.suspects[t]; ok {
			if _, onTrial := w.trials[t]; onTrial {
				w.released[t] = true
			}
			noted = w.notePending(t, a) || noted
		}
	}
	return noted
}

// notePending notes an answer for the next report, unless it was reported already.
func (w *Watch) notePending(t Trait, a answer) bool {
	if until, ok := w.reportedUntil[t]; ok && a.at <= until || len(w.pending[t]) >= maxAnswers {
		return false
	}
	w.pending[t] = append(w.pending[t], answerAt{a.incarnation, a.at})
	return true
}

// Suspects returns the number of suspect traits.
func (w *Watch) Suspects() int { return len(w.suspects) }

// Watches reports whether any trait is suspect or was lost here. If not, no traits need be
// computed.
func (w *Watch) Watches() bool { return len(w.suspects) > 0 || len(w.own) > 0 }

// IsSuspect reports whether a trait is known to have ended several incarnations.
func (w *Watch) IsSuspect(t Trait) bool {
	_, ok := w.suspects[t]
	return ok
}

// QuarantineLeft returns how long runs with any of the traits must not begin yet, and the trait
// that is to blame; 0 if they may. While detached, without a coordinator that counts for all
// entries, the losses seen here decide as well.
func (w *Watch) QuarantineLeft(now Time, traits []Trait, detached bool) (left time.Duration, blamed Trait) {
	for _, t := range traits {
		if l := w.heldFor(now, t); l > left {
			left, blamed = l, t
		}
	}
	if detached && left == 0 {
		return w.local.quarantineLeft(now, traits)
	}
	return left, blamed
}

// heldFor returns how long runs with a trait must not begin yet by what the coordinator published.
func (w *Watch) heldFor(now Time, t Trait) time.Duration {
	s := w.suspects[t]
	if s.Until == 0 || w.released[t] {
		return 0
	}
	until := s.Until + w.releaseDelay(t)
	if began, ok := w.trials[t]; ok {
		until = max(until, began+trialInterval)
	}
	return max(until-now, 0)
}

// releaseDelay returns how long after a trait's quarantine this entry lets runs begin.
func (w *Watch) releaseDelay(t Trait) time.Duration {
	return time.Duration(xxhash.Sum64String(w.entry+string(t)) % uint64(releaseSpread))
}

// BeginRun notes that a run of a request with the traits begins, which QuarantineLeft did not forbid.
func (w *Watch) BeginRun(now Time, traits []Trait) {
	for _, t := range traits {
		if w.suspects[t].Until != 0 && !w.released[t] {
			w.trials[t] = now
		}
	}
}

// Publish applies suspicions. A snapshot replaces all known ones. Recent answers to requests with
// traits that were not suspect before become due for a report.
func (w *Watch) Publish(now Time, list []Suspicion, snapshot bool) {
	known := maps.Clone(w.suspects)
	if snapshot {
		clear(w.suspects)
		clear(w.pending)
		clear(w.reportedUntil)
		clear(w.trials)
		clear(w.released)
		clear(known)
	}
	added := map[Trait]bool{}
	for _, s := range list {
		if s.Cleared {
			delete(w.suspects, s.Trait)
			delete(w.pending, s.Trait)
			delete(w.trials, s.Trait)
			delete(w.released, s.Trait)
			continue
		}
		w.applyQuarantine(now, &s)
		w.suspects[s.Trait] = s
		if _, ok := known[s.Trait]; !ok {
			added[s.Trait] = true
		}
	}
	if len(added) == 0 {
		return
	}
	for _, a := range w.answers {
		for _, t := range a.request.TraitsOn(a.software) {
			if added[t] {
				w.notePending(t, a)
			}
		}
	}
}

// applyQuarantine keeps the end of a quarantine that was over before, and starts trials anew with the next one.
func (w *Watch) applyQuarantine(now Time, s *Suspicion) {
	if s.Until > now {
		delete(w.trials, s.Trait)
		delete(w.released, s.Trait)
	} else if before := w.suspects[s.Trait].Until; s.Until != 0 && before != 0 {
		s.Until = min(s.Until, before)
	}
}

// HasUnreported reports whether there is anything to report.
func (w *Watch) HasUnreported() bool {
	return len(w.pending) > 0 || slices.ContainsFunc(w.own, func(l ownLoss) bool { return !l.reported }) ||
		slices.ContainsFunc(w.unsettled, func(g unsettledRun) bool { return !g.reported })
}

// TakeUnreported returns what was not reported yet, and counts it as reported. The losses include the
// unsettled runs, so that the coordinator knows of them even if this process ends.
func (w *Watch) TakeUnreported(now Time) ([]LossReport, []AnswerReport) {
	var answers []AnswerReport
	for _, t := range slices.Sorted(maps.Keys(w.pending)) {
		a := AnswerReport{Trait: t}
		for _, p := range w.pending[t] {
			a.Answers = append(a.Answers, AnswerAge{p.Incarnation, now - p.at})
			w.reportedUntil[t] = max(w.reportedUntil[t], p.at)
		}
		answers = append(answers, a)
	}
	clear(w.pending)
	if len(w.reportedUntil) > maxRecords {
		clear(w.reportedUntil)
	}
	return w.takeLosses(now, false), answers
}

// TakeAll returns all losses of the last lossTTL and the unsettled runs, for a coordinator that may know none of
// them, and counts them as reported.
func (w *Watch) TakeAll(now Time) []LossReport {
	w.own = slices.DeleteFunc(w.own, func(l ownLoss) bool { return now-l.at >= lossTTL })
	w.local.Expire(now)
	return w.takeLosses(now, true)
}

func (w *Watch) takeLosses(now Time, all bool) []LossReport {
	var out []LossReport
	for i := range w.own {
		if l := &w.own[i]; all || !l.reported {
			l.reported = true
			out = append(out, l.report(now))
		}
	}
	for i := range w.unsettled {
		if g := &w.unsettled[i]; now-g.At < unsettledTTL && (all || !g.reported) {
			g.reported = true
			l := w.lossOf(&g.UnsettledRun)
			out = append(out, l.report(now))
		}
	}
	return out
}

func (l *ownLoss) report(now Time) LossReport {
	return LossReport{l.LostRun, now - l.at, l.at - l.from}
}
