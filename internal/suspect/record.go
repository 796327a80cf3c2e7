package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectLosses is the number of lost incarnations from which on a trait is suspect.
	suspectLosses = 2
	// QuarantineLosses is the score that puts a trait in quarantine: so many losses without an
	// answer in between.
	QuarantineLosses = 3
	// unansweredQuarantineLosses is the same for a whole request that was never answered, if no more
	// than unansweredCopies of its losses came with another. Two losses of it are rarely due to
	// another request, which would have had to run beside it twice, or to a loss of power, which
	// ends all copies of a common one.
	unansweredQuarantineLosses = 2
	unansweredCopies           = 1
	// answerReportTime is the time in which entries report the answers to requests that are suspect
	// since then. Until it has passed, no answer shows nothing.
	answerReportTime = 200 * time.Millisecond
	// attachTime is the time from the start of a Tally in which entries attach and tell what they know.
	attachTime = time.Second
	// settledTime is the time from the start of a Tally until it goes by what was never answered: entries
	// that have started lately don't know the answers before.
	settledTime = 5 * time.Second
	// MinSavedLosses is the lowest number of losses of a trait that is saved.
	MinSavedLosses = unansweredQuarantineLosses
	// fieldQuarantineLosses is the same for a trait that is one field or names a record, if requests with it
	// were answered, or other upstreams end all the time. Unlike requests share it, several of which may end
	// upstreams for reasons of their own.
	fieldQuarantineLosses = 5
	// unansweredContentRequests is the number of different requests whose losses put in quarantine a part
	// of their content that was never answered.
	unansweredContentRequests = 2
	// answersPerLoss is the number of answers that outweigh a loss. A request that is answered
	// every second time still reaches QuarantineLosses.
	answersPerLoss = 4
	// answersPerWholeLoss is the same for a whole request. One that ends every second upstream may by chance be answered
	// three times out of four for a while; a sound one is answered far more often.
	answersPerWholeLoss = 6
	// maxCredit bounds how many losses earlier answers outweigh, so that a trait which turns
	// lethal is recognised however often it was answered before.
	maxCredit = 2
	// firstQuarantine is the length of the first quarantine of a whole request. Each further loss
	// doubles it, so that an innocent request returns, and another one ends ever fewer upstreams.
	firstQuarantine = 2 * time.Minute
	// probation is how long a trait is held after fewer than QuarantineLosses of which one is not
	// confirmed. Until then a heartbeat refutes it, or the next incarnation confirms it.
	probation = 5 * time.Second
	// firstSharedQuarantine is the same for any other trait. It is shorter since it also stops
	// innocent requests, if the trait is innocent.
	firstSharedQuarantine = 20 * time.Second
	maxQuarantine         = 24 * time.Hour
	// simultaneous is the time within which ends of several incarnations count as one: a trait
	// that many requests share is lost on all upstreams that lose power at once.
	simultaneous = 500 * time.Millisecond
	// noticeDelay is the time within which all entries notice and report ends that happen at the
	// same moment.
	noticeDelay = 20 * time.Millisecond
	// lossTTL is how long the losses of a trait count after the last one.
	lossTTL = time.Hour
	// lastAnswer is the time before the end of an incarnation in which the last answer counts for
	// nothing: it may be that of the run which ended the incarnation.
	lastAnswer = time.Second
	// maxAnswers bounds the answers that a record remembers.
	maxAnswers = 64
)

// record holds what is known about the runs with one trait.
type record struct {
	trait     Trait
	request   []Trait // if trait is a whole request: its traits; nil: not known
	losses    map[Incarnation]*loss
	answers   []answerAt // of such runs, oldest first
	last      Time       // of the newest loss
	lethalAt  Time       // when the score reached QuarantineLosses for the first time
	published bool       // entries know the trait as suspect
	isKnown   bool       // it has suspectLosses, so that entries are told and report answers
	awaited   Time       // until when they may still report earlier ones
	isAwaited bool       // this time has not come yet
	restored  bool       // an earlier coordinator held it
	// isUncertain is set if it shows little that the trait was never answered: far more upstreams ended lately
	// without a run of it than with one, or the tally is too young to know.
	isUncertain bool
}

type loss struct {
	from, at Time // the incarnation ended between these times
	aliveAt  Time // a time at which the incarnation was alive; at: none is known
	refuted  bool // the incarnation has sent a heartbeat since
	// outweighed is set if so many answers came later that the loss no longer counts.
	outweighed bool
	ended      bool // another incarnation has taken its place, or it fell silent for good
	saved      bool
	restored   bool // an earlier coordinator saved it, at a later time than from or at
}

type answerAt struct {
	Incarnation
	at Time
}

// endedWith reports whether the incarnation may have ended at the same moment as an earlier one. If
// byOrder is set, it did not if it was still alive after the earlier end was noticed.
func (l *loss) endedWith(earlier *loss, byOrder bool) bool {
	if l.from >= earlier.at+simultaneous {
		return false
	}
	wasAlive := l.aliveAt < l.at && l.aliveAt >= earlier.at-noticeDelay && l.at > earlier.at+noticeDelay
	return !byOrder || !wasAlive
}

// counts reports whether the loss is held against the trait.
func (l *loss) counts() bool { return !l.refuted && !l.outweighed }

func newRecord(t Trait) *record {
	return &record{trait: t, losses: map[Incarnation]*loss{}}
}

// count returns the number of incarnations that were lost.
func (r *record) count() int {
	n := 0
	for _, l := range r.losses {
		if l.counts() {
			n++
		}
	}
	return n
}

// score weighs the losses against the answers in the order of time, as a cumulative sum: each
// loss adds one, and as many answers as outweigh it take one off. Incarnations that may have ended at the same
// moment count once, and so do those whose loss repeated names the same request for: what ends upstreams
// again and again is that request, whatever it shares with others. Those in skip are left out.
func (r *record) score(skip map[Incarnation]bool, repeated func(Incarnation) Trait) float64 {
	var losses []*loss
	causes := map[*loss]Trait{}
	for inc, l := range r.losses {
		if l.counts() && !skip[inc] {
			losses = append(losses, l)
			if repeated != nil && !r.trait.isWhole() {
				causes[l] = repeated(inc)
			}
		}
	}
	slices.SortFunc(losses, func(a, b *loss) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.from, b.from)) })
	answers := r.answerTimes()
	score, answered := 0.0, 0
	subtractUntil := func(until Time) {
		for ; answered < len(answers) && answers[answered] <= until; answered++ {
			score = max(score-1/float64(r.answersPerLoss()), -maxCredit)
		}
	}
	// Upstreams may lose power one after the other, so that the order of their ends shows little for a
	// trait that sound requests share.
	byOrder := r.trait.isWhole() || len(answers) == 0
	var last *loss
	counted := map[Trait]bool{}
	for _, l := range losses {
		cause := causes[l]
		if last != nil && l.endedWith(last, byOrder) || cause != "" && counted[cause] {
			continue
		}
		counted[cause] = true
		subtractUntil(l.at)
		score++
		last = l
	}
	if len(answers) > answered {
		subtractUntil(answers[len(answers)-1])
	}
	return score
}

// answerTimes returns when the answers that count were given, oldest first: not the last one before the
// end of each lost incarnation.
func (r *record) answerTimes() []Time {
	var out []Time
	isLast := map[Incarnation]bool{}
	for _, a := range slices.Backward(r.answers) {
		l := r.losses[a.Incarnation]
		if l != nil && !l.refuted && !isLast[a.Incarnation] && (l.restored || a.at >= l.at-lastAnswer) {
			isLast[a.Incarnation] = true
			continue
		}
		out = append(out, a.at)
	}
	slices.Reverse(out)
	return out
}

// isAnswered reports whether any answer counts.
func (r *record) isAnswered() bool { return len(r.answers) > 0 && len(r.answerTimes()) > 0 }

// answersPerLoss returns the number of answers that outweigh a loss.
func (r *record) answersPerLoss() int {
	if r.trait.isWhole() {
		return answersPerWholeLoss
	}
	return answersPerLoss
}

// addAnswers records answers. Of more than maxAnswers, as many of the oldest ones as
// outweigh a loss outweigh the oldest one before them for good.
func (r *record) addAnswers(answers []answerAt) {
	r.answers = append(r.answers, answers...)
	slices.SortFunc(r.answers, func(a, b answerAt) int { return cmp.Compare(a.at, b.at) })
	for len(r.answers) > maxAnswers {
		n := min(r.answersPerLoss(), len(r.answers)-1)
		if l := r.oldestLoss(); l != nil && l.at <= r.answers[0].at {
			l.outweighed = true
		}
		r.answers = slices.Delete(r.answers, 0, n)
	}
}

// oldestLoss returns the oldest loss that counts; nil if there is none.
func (r *record) oldestLoss() *loss {
	var oldest *loss
	for _, l := range r.losses {
		if l.counts() && (oldest == nil || l.at < oldest.at) {
			oldest = l
		}
	}
	return oldest
}

// isSuspect reports whether entries have to know the trait.
func (r *record) isSuspect() bool { return r.count() >= suspectLosses && r.score(nil, nil) > 0 }

// quarantineScore returns the score that puts the trait in quarantine.
func (r *record) quarantineScore() float64 {
	switch {
	case r.trait.specificity() < specificityPart && (r.isAnswered() || r.isUncertain):
		return fieldQuarantineLosses
	case r.isUnansweredContent():
		return unansweredContentRequests
	case r.trait.isWhole() && !r.isAnswered() && !r.isAwaited && r.count() <= int(r.score(nil, nil))+unansweredCopies:
		return unansweredQuarantineLosses
	}
	return QuarantineLosses
}

// isUnansweredContent reports whether the trait is a part of the content of requests, none of which was
// ever answered, and this shows something.
func (r *record) isUnansweredContent() bool {
	return r.trait.isContent() && !r.isUncertain && !r.isAnswered()
}

// isOnProbation reports whether the trait has fewer losses than QuarantineLosses, one of which may
// still be refuted.
func (r *record) isOnProbation() bool {
	if r.score(nil, nil) >= QuarantineLosses {
		return false
	}
	for _, l := range r.losses {
		if l.counts() && !l.ended {
			return true
		}
	}
	return false
}

// quarantineEnd returns the end of the quarantine that the losses call for.
func (r *record) quarantineEnd() Time {
	first := firstSharedQuarantine
	if r.trait.isWhole() {
		first = firstQuarantine
	}
	if r.isOnProbation() {
		return r.last + probation
	}
	extra := max(int(r.score(nil, nil)-max(r.quarantineScore(), QuarantineLosses)), 0)
	return r.last + min(first<<min(extra, 16), maxQuarantine)
}

// expiresAt returns when the record is forgotten.
func (r *record) expiresAt() Time {
	if r.count() < QuarantineLosses {
		return r.last + lossTTL
	}
	return r.quarantineEnd() + lossTTL
}

func (r *record) sortedIncarnations() []Incarnation {
	return slices.SortedFunc(maps.Keys(r.losses), func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.BornUnixMs, b.BornUnixMs))
	})
}
