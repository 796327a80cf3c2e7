package suspect

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxCompared bounds the lethal traits that are compared with each other.
	maxCompared = 512
	// unansweredRequests is the number of different requests from which on the losses of a trait that they
	// share and that was never answered count whatever else explains them: sound requests would not have run
	// beside others that end upstreams each time.
	unansweredRequests = 4
	// sharedByRequests is the number of different requests from which on all losses of each count
	// for a trait that they share and that was never answered.
	sharedByRequests = 3
)

// review determines the traits that are held: as few as explain all losses. A trait that only
// occurred together with one to blame is not held, so that requests with it alone are served. If
// it is to blame after all, it ends an upstream on its own, and explains more losses than the other.
func (t *Tally) review() {
	if !t.stale {
		return
	}
	t.stale = false
	held := map[Trait]bool{}
	if len(t.lethal) > maxCompared {
		for trait := range t.lethal {
			held[trait] = true
		}
	} else {
		e := explanation{all: map[Incarnation]bool{}, shared: map[Incarnation]bool{}, wholes: map[Incarnation][]*record{}}
		for r := t.bestExplanation(held, &e); r != nil; r = t.bestExplanation(held, &e) {
			held[r.trait] = true
			e.add(r)
		}
	}
	t.releaseExplained(held)
	for trait := range t.held {
		if !held[trait] {
			t.changed[trait] = true
		}
	}
	for trait := range held {
		t.changed[trait] = true
		if r := t.records[trait]; !r.isOnProbation() {
			t.save(r)
		}
	}
	t.held = held
}

// releaseExplained releases the whole requests with fewer losses than QuarantineLosses of which
// each is explained by another held trait: they ran beside two different requests that end
// upstreams.
func (t *Tally) releaseExplained(held map[Trait]bool) {
	for _, trait := range slices.Sorted(maps.Keys(held)) {
		if r := t.records[trait]; trait.isWhole() && r.count() < QuarantineLosses && t.isExplained(r, held) {
			delete(held, trait)
		}
	}
}

// isExplained reports whether each loss of a record is one of another held trait as well.
func (t *Tally) isExplained(r *record, held map[Trait]bool) bool {
	for inc, l := range r.losses {
		if !l.counts() {
			continue
		}
		explained := false
		for other := range held {
			o := t.records[other].losses[inc]
			explained = explained || other != r.trait && o != nil && o.counts()
		}
		if !explained {
			return false
		}
	}
	return true
}

// explanation holds the incarnations whose losses held traits explain: all of them, those that
// unlike requests share, and the held requests that were lost on each.
type explanation struct {
	all, shared map[Incarnation]bool
	wholes      map[Incarnation][]*record
}

// add adds the losses of a held trait.
func (e *explanation) add(r *record) {
	for inc, l := range r.losses {
		if !l.counts() {
			continue
		}
		e.all[inc] = true
		if r.trait.isWhole() {
			e.wholes[inc] = append(e.wholes[inc], r)
		} else {
			e.shared[inc] = true
		}
	}
}

// unrelatedTo returns the incarnations whose losses are explained by a held request without r's trait.
func (e *explanation) unrelatedTo(r *record) map[Incarnation]bool {
	out := map[Incarnation]bool{}
	for inc := range r.losses {
		out[inc] = slices.ContainsFunc(e.wholes[inc], func(w *record) bool {
			return w.request != nil && !slices.Contains(w.request, r.trait)
		})
	}
	return out
}

// unexplained returns the score of what the held traits leave unexplained of a trait's losses. Whole
// requests don't explain those of a trait that they share and that no upstream ever answered: it is to
// blame for all of them if it has enough. Nor do other traits if it is a part of the content, since several
// parts may be what unites the requests. What an earlier coordinator held is to blame for all its losses.
func (t *Tally) unexplained(r *record, e *explanation) float64 {
	if r.trait.isWhole() || r.isAnswered() {
		return r.score(e.all, t.repeatedOn)
	}
	if r.restored {
		return r.score(nil, nil)
	}
	if total := r.score(nil, t.repeatedOn); total >= unansweredRequests {
		return total
	}
	explained := e.unrelatedTo(r)
	if r.isUnansweredContent() {
		return r.score(explained, t.repeatedOn)
	}
	for inc := range e.shared {
		explained[inc] = true
	}
	score := r.score(explained, t.repeatedOn)
	if score >= sharedByRequests {
		return r.score(explained, nil)
	}
	return score
}

// bestExplanation returns the lethal trait to hold next, nil if those held explain all losses.
// Traits without answers come first, then whole requests, so that what several requests that end
// upstreams have in common does not stand for them, then those with the most unexplained losses, then
// the most specific ones.
func (t *Tally) bestExplanation(held map[Trait]bool, e *explanation) *record {
	var best *record
	bestScore, bestAnswered := 0.0, false
	for trait, r := range t.lethal {
		if held[trait] {
			continue
		}
		score := t.unexplained(r, e)
		// A whole request occurs in few losses, so that one on its own tells against it.
		if score < r.quarantineScore() && !(trait.isWhole() && score >= 1) {
			continue
		}
		answered := r.isAnswered()
		if best == nil || cmp.Or(compareBool(answered, bestAnswered), compareBool(best.trait.isWhole(), trait.isWhole()), cmp.Compare(bestScore, score),
			cmp.Compare(best.trait.specificity(), trait.specificity()), cmp.Compare(r.lethalAt, best.lethalAt), cmp.Compare(trait, best.trait)) < 0 {
			best, bestScore, bestAnswered = r, score, answered
		}
	}
	return best
}

// repeatedOn returns the request with the most losses of those that were lost on an incarnation,
// if it was lost on others too; empty: there is none.
func (t *Tally) repeatedOn(inc Incarnation) Trait {
	repeated, most := Trait(""), suspectLosses-1
	for _, w := range t.wholes[inc] {
		if n := t.records[w].count(); n > most {
			repeated, most = w, n
		}
	}
	return repeated
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
