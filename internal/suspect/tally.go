package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectLosses is the number of lost incarnations from which on a request is suspect.
	suspectLosses = 2
	// QuarantineLosses is the number of lost incarnations that puts a request in quarantine.
	QuarantineLosses = 3
	// firstQuarantine is the length of the first quarantine. Each further loss doubles it, so
	// that an innocent request returns, and another one ends ever fewer upstreams.
	firstQuarantine = 2 * time.Minute
	maxQuarantine   = 24 * time.Hour
	// firstPartQuarantine is the length of the first quarantine of a prompt part. It is shorter
	// since it also stops innocent requests, if the part is innocent.
	firstPartQuarantine = 20 * time.Second
	// simultaneous is the time within which ends of several incarnations count as one against a
	// prompt part: a part that many requests share is lost on all upstreams that lose power at once.
	simultaneous = 500 * time.Millisecond
	// maxDoubtfulLosses is the number of losses from which on a prompt part is no longer explained
	// by one with more losses, which may be a part of requests that run everywhere.
	maxDoubtfulLosses = QuarantineLosses + 2
	// lossTTL is how long the losses of a request count after the last one.
	lossTTL = time.Hour
	// refuteDelay is the age from which on a loss is refuted by a heartbeat of its
	// incarnation. A younger heartbeat may have been sent before the loss.
	refuteDelay = 500 * time.Millisecond
	// endWindow is the time within which the end of an incarnation confirms a loss although a
	// heartbeat, which may have been delayed, has refuted it. It exceeds the silence after which
	// an upstream is forgotten, for one that never comes back.
	endWindow = 25 * time.Second
	// maxRequests bounds the requests that a Tally remembers.
	maxRequests = 4096
	// maxCompared bounds the lethal requests that are compared with each other.
	maxCompared = 128
)

// Tally counts, for all entries together, the incarnations that ended while they began to
// run a request. It does no I/O and is not safe for concurrent use.
type Tally struct {
	requests map[string]*record       // by digest
	open     map[Incarnation][]string // digests with a loss that may still be refuted or confirmed
	lethal   map[string]*record       // the requests with QuarantineLosses or more
	changed  map[string]bool          // digests to publish
	unsaved  map[string][]Incarnation // losses of quarantined requests to be saved
}

// record holds what is known about one request.
type record struct {
	isPart    bool // it is a prompt part
	losses    map[Incarnation]*loss
	last      Time // of the newest loss
	lethalAt  Time // when it had QuarantineLosses for the first time
	published bool // entries know the request as suspect
}

type loss struct {
	at      Time
	refuted bool // the incarnation has sent a heartbeat since
	saved   bool
}

// NewTally returns a tally without losses.
func NewTally() *Tally {
	return &Tally{requests: map[string]*record{}, open: map[Incarnation][]string{}, lethal: map[string]*record{}, changed: map[string]bool{},
		unsaved: map[string][]Incarnation{}}
}

// count returns the number of incarnations lost to the request, for a prompt part without
// those that ended together with another one.
func (r *record) count() int {
	var times []Time
	for _, l := range r.losses {
		if !l.refuted {
			times = append(times, l.at)
		}
	}
	if !r.isPart {
		return len(times)
	}
	slices.Sort(times)
	n, last := 0, Time(0)
	for i, at := range times {
		if i == 0 || at-last >= simultaneous {
			n, last = n+1, at
		}
	}
	return n
}

// quarantineEnd returns the end of the quarantine that the losses call for, 0 if they are too
// few.
func (r *record) quarantineEnd() Time {
	extra := r.count() - QuarantineLosses
	if extra < 0 {
		return 0
	}
	first := firstQuarantine
	if r.isPart {
		first = firstPartQuarantine
	}
	return r.last + min(first<<min(extra, 16), maxQuarantine)
}

// expiresAt returns when the request is forgotten.
func (r *record) expiresAt() Time { return max(r.last, r.quarantineEnd()) + lossTTL }

// includes reports whether all losses of another request are losses of this one too.
func (r *record) includes(other *record) bool {
	for inc, l := range other.losses {
		if mine := r.losses[inc]; !l.refuted && (mine == nil || mine.refuted) {
			return false
		}
	}
	return true
}

// quarantineOf returns the end of a request's quarantine, 0 if it may run. A request that
// another one explains may: it was running beside it each time. If it is to blame after all,
// it ends an upstream while the other one can't run, and is explained no longer.
func (t *Tally) quarantineOf(digest string, r *record) Time {
	if len(t.lethal) > maxCompared {
		return r.quarantineEnd()
	}
	for other, o := range t.lethal {
		if other != digest && !o.isPart && !r.isPart && o.includes(r) && explainsBefore(other, o, digest, r) {
			return 0
		}
	}
	return r.quarantineEnd()
}

// suspicion returns what is published about a request or prompt part.
func (t *Tally) suspicion(digest string, r *record) Suspicion {
	return Suspicion{Digest: digest, Until: t.quarantineOf(digest, r), ExplainedBy: t.explanations(digest, r)}
}

// explanations returns the parts that were lost on all the same incarnations as a part in
// quarantine, sorted.
func (t *Tally) explanations(digest string, r *record) []string {
	if !r.isPart || t.lethal[digest] == nil || len(t.lethal) > maxCompared {
		return nil
	}
	var out []string
	for other, o := range t.lethal {
		inDoubt := r.count() < maxDoubtfulLosses || o.count() == r.count()
		if other != digest && o.isPart && inDoubt && o.includes(r) {
			out = append(out, other)
		}
	}
	slices.Sort(out)
	return out
}

// explainsBefore reports whether a request whose losses include those of another one is to
// blame rather than that: it has more losses or, if both have the same, had them first.
func explainsBefore(digest string, r *record, otherDigest string, other *record) bool {
	return cmp.Or(cmp.Compare(other.count(), r.count()), cmp.Compare(r.lethalAt, other.lethalAt), cmp.Compare(digest, otherDigest)) < 0
}

// RecordLoss records a loss of the given age. The same one counts once, whoever reports it; a
// newer one takes the place of an older one that was refuted.
func (t *Tally) RecordLoss(now Time, l Loss, age time.Duration) {
	r := t.requests[l.Digest]
	if r == nil {
		t.evictIfFull()
		r = &record{isPart: isPart(l.Digest), losses: map[Incarnation]*loss{}}
		t.requests[l.Digest] = r
	}
	at := now - age
	known := r.losses[l.Incarnation]
	if known != nil && (!known.refuted || at < known.at+refuteDelay) {
		return
	}
	r.losses[l.Incarnation] = &loss{at: at, saved: known != nil && known.saved}
	r.last = max(r.last, at)
	if !slices.Contains(t.open[l.Incarnation], l.Digest) {
		t.open[l.Incarnation] = append(t.open[l.Incarnation], l.Digest)
	}
	t.update(l.Digest, r)
}

// Restore adds a request whose losses were saved.
func (t *Tally) Restore(digest string, lost []Incarnation, last Time) {
	t.evictIfFull()
	r := &record{isPart: isPart(digest), losses: map[Incarnation]*loss{}, last: last}
	for i, inc := range lost {
		r.losses[inc] = &loss{at: last - time.Duration(len(lost)-1-i)*simultaneous, saved: true}
	}
	t.requests[digest] = r
	t.update(digest, r)
}

// RecordCompletion forgets a request that ran to its end: it does not end every upstream.
func (t *Tally) RecordCompletion(digest string) {
	if r := t.requests[digest]; r != nil {
		t.forget(digest, r)
	}
}

// Alive records a heartbeat of an incarnation, which refutes the losses before it.
func (t *Tally) Alive(now Time, inc Incarnation) {
	for _, digest := range t.open[inc] {
		r := t.requests[digest]
		if l := r.losses[inc]; !l.refuted && now-l.at >= refuteDelay {
			l.refuted = true
			t.update(digest, r)
		}
	}
}

// Ended records that an incarnation has ended without notice. It confirms the losses that
// came shortly before.
func (t *Tally) Ended(now Time, inc Incarnation) {
	for _, digest := range t.open[inc] {
		r := t.requests[digest]
		if l := r.losses[inc]; l.refuted && now-l.at <= endWindow {
			l.refuted = false
			t.update(digest, r)
		}
	}
	delete(t.open, inc)
}

// Expire forgets the requests whose losses no longer count.
func (t *Tally) Expire(now Time) {
	for digest, r := range t.requests {
		if now >= r.expiresAt() {
			t.forget(digest, r)
		}
	}
}

// update notes what a change of a request's losses has to publish and to save.
func (t *Tally) update(digest string, r *record) {
	n := r.count()
	if n >= suspectLosses || r.published {
		t.changed[digest] = true
	}
	if n < QuarantineLosses {
		t.dropLethal(digest)
		return
	}
	if t.lethal[digest] == nil {
		r.lethalAt = r.last
		t.lethal[digest] = r
	}
	t.reviewLethal()
	for _, inc := range sortedIncarnations(r.losses) {
		if l := r.losses[inc]; !l.refuted && !l.saved {
			l.saved = true
			t.unsaved[digest] = append(t.unsaved[digest], inc)
		}
	}
}

func (t *Tally) dropLethal(digest string) {
	if t.lethal[digest] != nil {
		delete(t.lethal, digest)
		t.reviewLethal()
	}
}

// reviewLethal publishes all lethal requests anew, since each may explain others.
func (t *Tally) reviewLethal() {
	if len(t.lethal) > maxCompared {
		return
	}
	for digest := range t.lethal {
		t.changed[digest] = true
	}
}

func sortedIncarnations(losses map[Incarnation]*loss) []Incarnation {
	return slices.SortedFunc(maps.Keys(losses), func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.BornUnixMs, b.BornUnixMs))
	})
}

func (t *Tally) forget(digest string, r *record) {
	for inc := range r.losses {
		rest := slices.DeleteFunc(t.open[inc], func(d string) bool { return d == digest })
		if len(rest) == 0 {
			delete(t.open, inc)
			continue
		}
		t.open[inc] = rest
	}
	if r.published {
		t.changed[digest] = true
	}
	delete(t.requests, digest)
	t.dropLethal(digest)
}

// evictIfFull forgets the request with the fewest losses, the oldest of them, when the tally
// is full.
func (t *Tally) evictIfFull() {
	if len(t.requests) < maxRequests {
		return
	}
	victim, victimCount := "", 0
	for digest, r := range t.requests {
		n, v := r.count(), t.requests[victim]
		if v == nil || cmp.Or(cmp.Compare(n, victimCount), cmp.Compare(r.last, v.last), cmp.Compare(digest, victim)) < 0 {
			victim, victimCount = digest, n
		}
	}
	t.forget(victim, t.requests[victim])
}

// TakeChanges returns the suspicions that changed since the last call, sorted by digest.
func (t *Tally) TakeChanges() []Suspicion {
	if len(t.changed) == 0 {
		return nil
	}
	var out []Suspicion
	for _, digest := range slices.Sorted(maps.Keys(t.changed)) {
		r := t.requests[digest]
		if r == nil || r.count() < suspectLosses {
			if r != nil {
				r.published = false
			}
			out = append(out, Suspicion{Digest: digest, Cleared: true})
			continue
		}
		r.published = true
		out = append(out, t.suspicion(digest, r))
	}
	clear(t.changed)
	return out
}

// Suspicions returns all suspicions, sorted by digest.
func (t *Tally) Suspicions() []Suspicion {
	var out []Suspicion
	for _, digest := range slices.Sorted(maps.Keys(t.requests)) {
		if r := t.requests[digest]; r.count() >= suspectLosses {
			out = append(out, t.suspicion(digest, r))
		}
	}
	return out
}

// TakeUnsaved returns the losses of quarantined requests that are to be saved, so that they
// outlast this process, sorted by digest.
func (t *Tally) TakeUnsaved() []Loss {
	if len(t.unsaved) == 0 {
		return nil
	}
	var out []Loss
	for _, digest := range slices.Sorted(maps.Keys(t.unsaved)) {
		for _, inc := range t.unsaved[digest] {
			out = append(out, Loss{digest, inc})
		}
	}
	clear(t.unsaved)
	return out
}
