package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// refuteDelay is the age from which on a loss is refuted by a heartbeat of its
	// incarnation. A younger heartbeat may have been sent before the loss.
	refuteDelay = 500 * time.Millisecond
	// SurvivalDelay is the age from which on a heartbeat refutes a loss for good: none is delayed
	// for so long.
	SurvivalDelay = 6 * time.Second
	// endWindow is the time within which the end of an incarnation confirms a loss although a
	// heartbeat, which may have been delayed, has refuted it. It exceeds the silence after which
	// an upstream is forgotten, for one that never comes back.
	endWindow = 25 * time.Second
	// endTTL is how long the end of an incarnation is remembered, for losses that entries report
	// after it.
	endTTL = time.Minute
	// maxEnds bounds the ends that are remembered.
	maxEnds = 4096
	// maxUnsettled bounds the runs that are losses if their incarnations turn out to have ended.
	maxUnsettled = 4096
	// maxRecords bounds the traits that a Tally remembers.
	maxRecords = 16384
)

// Tally counts, for all entries together, the incarnations that ended while they began to run a
// request, by the traits of the request. It does no I/O and is not safe for concurrent use.
type Tally struct {
	records map[Trait]*record
	wholes  map[Incarnation][]Trait        // requests as a whole that were lost
	open    map[Incarnation]map[Trait]bool // traits with a loss that may still be refuted or confirmed
	ends    map[Incarnation]End            // of the last endTTL
	lethal  map[Trait]*record              // those whose score calls for quarantine
	held    map[Trait]bool                 // the lethal ones that explain the losses
	stale   bool                           // held has to be determined anew
	changed map[Trait]bool                 // to publish
	now     Time
	// unsettled holds, by incarnation, the runs that are losses if it turns out to have ended.
	unsettled      map[Incarnation][]unsettledLoss
	unsettledCount int
	awaited        map[Trait]bool // suspect traits whose answers may still be reported
	unsaved        []Loss         // of held traits
}

// NewTally returns a tally without losses.
func NewTally() *Tally {
	return &Tally{records: map[Trait]*record{}, wholes: map[Incarnation][]Trait{}, open: map[Incarnation]map[Trait]bool{}, ends: map[Incarnation]End{}, lethal: map[Trait]*record{},
		held: map[Trait]bool{}, changed: map[Trait]bool{}, awaited: map[Trait]bool{}, unsettled: map[Incarnation][]unsettledLoss{}}
}

// unsettledLoss is a run that is lost if its incarnation turns out to have ended.
type unsettledLoss struct {
	LossReport
	at Time
}

// RecordLoss records a lost run, or one that is lost if its incarnation turns out to have ended. The same
// incarnation counts once for each trait, whoever reports it; a newer loss takes the place of an older one
// that was refuted.
func (t *Tally) RecordLoss(now Time, l LossReport) {
	t.Advance(now)
	lost, ok := t.newLoss(now, l)
	if !ok {
		t.addUnsettled(now, l)
		return
	}
	traits := traitsOn(l.Traits, l.Software)
	for _, trait := range traits {
		r := t.recordOf(trait)
		if trait.isWhole() {
			r.request = traits
		}
		known := r.losses[l.Incarnation]
		if known != nil && (!known.refuted || lost.at < known.at+refuteDelay) {
			continue
		}
		next := lost
		next.saved = known != nil && known.saved
		r.losses[l.Incarnation] = &next
		r.last = max(r.last, next.at)
		if trait.specificity() == specificityWhole && known == nil {
			t.wholes[l.Incarnation] = append(t.wholes[l.Incarnation], trait)
		}
		if !lost.ended {
			if t.open[l.Incarnation] == nil {
				t.open[l.Incarnation] = map[Trait]bool{}
			}
			t.open[l.Incarnation][trait] = true
		}
		t.update(r)
	}
}

// addUnsettled keeps a run whose incarnation is not known to have ended.
func (t *Tally) addUnsettled(now Time, l LossReport) {
	if _, hasEnded := t.ends[l.Incarnation]; hasEnded || !l.Inferred || l.Age >= unsettledTTL || t.unsettledCount >= maxUnsettled {
		return
	}
	t.unsettled[l.Incarnation] = append(t.unsettled[l.Incarnation], unsettledLoss{l, now - l.Age})
	t.unsettledCount++
}

// takeUnsettled removes the unsettled runs of an incarnation and returns them.
func (t *Tally) takeUnsettled(inc Incarnation) []unsettledLoss {
	list := t.unsettled[inc]
	t.unsettledCount -= len(list)
	delete(t.unsettled, inc)
	return list
}

// newLoss returns the loss that a report tells of; ok is false if it tells of none. When an end that
// no connection showed took place is told by heartbeats only: the run may have been sent to an
// upstream that had ended before.
func (t *Tally) newLoss(now Time, l LossReport) (lost loss, ok bool) {
	at := now - l.Age
	end, hasEnded := t.ends[l.Incarnation]
	if end.Announced {
		return loss{}, false
	}
	if !l.Inferred {
		return loss{from: at - l.Span, at: at, aliveAt: at - l.Ran, ended: hasEnded || l.Ended}, true
	}
	if !hasEnded && l.Ended { // an earlier coordinator has seen the end
		aliveAt := at - l.Span
		if l.Span == 0 {
			return loss{from: at - endWindow, at: at, aliveAt: at, ended: true}, true
		}
		return loss{from: aliveAt, at: at, aliveAt: aliveAt, ended: true}, true
	}
	if !hasEnded || end.LastHeard >= at+refuteDelay || end.Latest < at-l.Ran {
		return loss{}, false
	}
	lost = loss{at: min(at, end.Latest), ended: true}
	lost.from = min(end.LastHeard-refuteDelay, lost.at)
	lost.aliveAt = lost.at
	if l.Span > 0 {
		lost.aliveAt = min(at-l.Span, lost.at)
		lost.from = max(lost.from, lost.aliveAt)
	}
	return lost, true
}

func (t *Tally) recordOf(trait Trait) *record {
	r := t.records[trait]
	if r == nil {
		t.evictIfFull()
		r = newRecord(trait)
		t.records[trait] = r
	}
	return r
}

// Restore adds a trait whose losses were saved.
func (t *Tally) Restore(trait Trait, lost []Incarnation, last Time) {
	t.evictIfFull()
	r := newRecord(trait)
	r.last = last
	for i, inc := range lost {
		at := last - time.Duration(len(lost)-1-i)*simultaneous
		r.losses[inc] = &loss{from: at, at: at, aliveAt: at, ended: true, saved: true, restored: true}
	}
	r.isKnown, r.restored = true, true // entries had the time to report answers
	t.records[trait] = r
	t.update(r)
}

// RecordAnswers records that runs with a trait were answered with success.
func (t *Tally) RecordAnswers(now Time, a AnswerReport) {
	r := t.records[a.Trait]
	if r == nil {
		return
	}
	var answers []answerAt
	for _, answer := range a.Answers {
		answers = append(answers, answerAt{answer.Incarnation, now - answer.Age})
	}
	r.addAnswers(answers)
	t.update(r)
}

// Alive records a heartbeat of an incarnation, which refutes the losses before it.
func (t *Tally) Alive(now Time, inc Incarnation) {
	for trait := range t.open[inc] {
		r := t.records[trait]
		l := r.losses[inc]
		if !l.refuted && now-l.at >= refuteDelay {
			l.refuted = true
			t.update(r)
		}
		if now-l.at >= SurvivalDelay {
			delete(t.open[inc], trait)
		}
	}
	if len(t.open[inc]) == 0 {
		delete(t.open, inc)
	}
}

// Ended records that an incarnation has ended. Without notice, it confirms the losses that came
// shortly before.
func (t *Tally) Ended(now Time, end End) {
	inc := end.Incarnation
	if len(t.ends) < maxEnds {
		t.ends[inc] = end
	}
	if end.Announced {
		delete(t.open, inc)
		t.takeUnsettled(inc)
		return
	}
	for trait := range t.open[inc] {
		r := t.records[trait]
		if l := r.losses[inc]; now-l.at <= endWindow {
			l.refuted, l.ended = false, true
			t.update(r)
		}
	}
	delete(t.open, inc)
	for _, u := range t.takeUnsettled(inc) {
		if u.Age = now - u.at; u.Age < unsettledTTL {
			t.RecordLoss(now, u.LossReport)
		}
	}
}

// Expire forgets the traits whose losses no longer count.
func (t *Tally) Expire(now Time) {
	for inc, list := range t.unsettled {
		if list[len(list)-1].at+unsettledTTL <= now {
			t.takeUnsettled(inc)
		}
	}
	for _, r := range t.records {
		if now >= r.expiresAt() {
			t.forget(r)
		}
	}
	maps.DeleteFunc(t.ends, func(_ Incarnation, e End) bool { return now-e.Latest >= endTTL })
}

// Advance has the tally decide on what only time shows. Other calls that name the time do so as well.
func (t *Tally) Advance(now Time) {
	t.now = max(t.now, now)
	for trait := range t.awaited {
		if r := t.records[trait]; r == nil || t.now >= r.awaited {
			delete(t.awaited, trait)
			if r != nil {
				t.update(r)
			}
		}
	}
}

// awaitAnswers notes whether entries may still report answers to requests with a trait that is suspect.
func (t *Tally) awaitAnswers(r *record) {
	isKnown := r.count() >= suspectLosses
	if isKnown && !r.isKnown {
		r.awaited = max(t.now+answerReportTime, attachTime)
	}
	r.isKnown = isKnown
	r.isAwaited = isKnown && t.now < r.awaited
	if r.isAwaited {
		t.awaited[r.trait] = true
	}
}

// endsWithout returns the number of incarnations that ended without notice in the last endTTL, that were lost
// with no request with r's trait and that no held request explains.
func (t *Tally) endsWithout(r *record) int {
	n := 0
	for inc, end := range t.ends {
		if !end.Announced && r.losses[inc] == nil && !t.isExplainedByRequest(inc) {
			n++
		}
	}
	return n
}

// isExplainedByRequest reports whether a held request was lost on an incarnation.
func (t *Tally) isExplainedByRequest(inc Incarnation) bool {
	for _, w := range t.wholes[inc] {
		if slices.ContainsFunc(t.records[w].request, func(trait Trait) bool { return trait.isWhole() && t.held[trait] }) {
			return true
		}
	}
	return false
}

// update notes what a change of a record has to publish.
func (t *Tally) update(r *record) {
	t.awaitAnswers(r)
	r.isUncertain = t.lethal[r.trait] == nil && !r.trait.isWhole() && !r.restored && r.count() >= suspectLosses &&
		(t.now < settledTime || t.endsWithout(r) > 2*r.count())
	if r.published || r.isSuspect() {
		t.changed[r.trait] = true
	}
	// What unlike requests share is not held before the answers that sound ones got may be known.
	switch isLethal := r.score(nil, nil) >= r.quarantineScore() && (r.trait.isWhole() || !r.isAwaited); {
	case isLethal && t.lethal[r.trait] == nil:
		r.lethalAt = r.last
		t.lethal[r.trait] = r
		t.stale = true
	case isLethal:
		t.stale = true
	case t.lethal[r.trait] != nil:
		delete(t.lethal, r.trait)
		t.stale = true
	}
}

// save notes the losses of a held trait that are not saved yet.
func (t *Tally) save(r *record) {
	for _, inc := range r.sortedIncarnations() {
		if l := r.losses[inc]; l.counts() && !l.saved {
			l.saved = true
			t.unsaved = append(t.unsaved, Loss{r.trait, inc})
		}
	}
}

func (t *Tally) forget(r *record) {
	for inc := range r.losses {
		delete(t.open[inc], r.trait)
		if len(t.open[inc]) == 0 {
			delete(t.open, inc)
		}
	}
	if r.trait.specificity() == specificityWhole {
		for inc := range r.losses {
			t.wholes[inc] = slices.DeleteFunc(t.wholes[inc], func(w Trait) bool { return w == r.trait })
			if len(t.wholes[inc]) == 0 {
				delete(t.wholes, inc)
			}
		}
	}
	if r.published {
		t.changed[r.trait] = true
	}
	delete(t.records, r.trait)
	if t.lethal[r.trait] != nil {
		delete(t.lethal, r.trait)
		t.stale = true
	}
}

// evictIfFull forgets the half of the records with the fewest losses, the oldest of them, when
// the tally is full.
func (t *Tally) evictIfFull() {
	if len(t.records) < maxRecords {
		return
	}
	all := slices.SortedFunc(maps.Values(t.records), func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.count(), b.count()), cmp.Compare(a.last, b.last), cmp.Compare(a.trait, b.trait))
	})
	for _, r := range all[:len(all)/2] {
		t.forget(r)
	}
}

// suspicion returns what is published about a suspect trait.
func (t *Tally) suspicion(r *record) Suspicion {
	s := Suspicion{Trait: r.trait}
	if t.held[r.trait] {
		s.Until = r.quarantineEnd()
	}
	return s
}

// TakeChanges returns the suspicions that changed since the last call, sorted by trait.
func (t *Tally) TakeChanges() []Suspicion {
	t.review()
	if len(t.changed) == 0 {
		return nil
	}
	var out []Suspicion
	for _, trait := range slices.Sorted(maps.Keys(t.changed)) {
		r := t.records[trait]
		switch {
		case r != nil && r.isSuspect():
			r.published = true
			out = append(out, t.suspicion(r))
		case r == nil || r.published:
			if r != nil {
				r.published = false
			}
			out = append(out, Suspicion{Trait: trait, Cleared: true})
		}
	}
	clear(t.changed)
	return out
}

// Suspicions returns all suspicions, sorted by trait.
func (t *Tally) Suspicions() []Suspicion {
	t.review()
	var out []Suspicion
	for _, trait := range slices.Sorted(maps.Keys(t.records)) {
		if r := t.records[trait]; r.isSuspect() {
			out = append(out, t.suspicion(r))
		}
	}
	return out
}

// TakeUnsaved returns the losses of traits in quarantine that are to be saved, so that they
// outlast this process.
func (t *Tally) TakeUnsaved() []Loss {
	t.review()
	out := t.unsaved
	t.unsaved = nil
	return out
}

// quarantineLeft returns how long runs with any of the traits must not begin yet, and the trait
// that is to blame.
func (t *Tally) quarantineLeft(now Time, traits []Trait) (left time.Duration, blamed Trait) {
	t.Advance(now)
	t.review()
	for _, trait := range traits {
		if t.held[trait] && t.records[trait].quarantineEnd()-now > left {
			left, blamed = t.records[trait].quarantineEnd()-now, trait
		}
	}
	return left, blamed
}
