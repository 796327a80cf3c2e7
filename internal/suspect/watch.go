package suspect

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxOwnLosses bounds the losses that a Watch keeps.
	maxOwnLosses = 512
	// maxCompletions bounds the completions that wait to be reported.
	maxCompletions = 64
	// soundTTL is how long a prompt part counts as sound after a request with it was answered.
	soundTTL = 30 * time.Second
	// maxSoundParts bounds the prompt parts that are remembered as sound.
	maxSoundParts = 4096
)

// Watch is one entry's part: it keeps the losses that this entry saw, for reports, and the
// suspicions that the coordinator published. It does no I/O and is not safe for concurrent
// use.
type Watch struct {
	own         []ownLoss            // oldest first
	completions []string             // digests of suspects that ran to their end, not reported yet
	suspects    map[string]Suspicion // by digest
	sound       map[string]Time      // prompt parts, by digest, and when a request with them was last answered
}

type ownLoss struct {
	Loss
	at       Time
	reported bool
}

// LossReport is a loss with its age at the time of the report.
type LossReport struct {
	Loss
	Age time.Duration
}

// NewWatch returns a watch without suspects.
func NewWatch() *Watch {
	return &Watch{suspects: map[string]Suspicion{}, sound: map[string]Time{}}
}

// RecordLoss records the end of a run without an answer. Of the same loss only the newest is
// kept; beyond maxOwnLosses the oldest one is dropped.
func (w *Watch) RecordLoss(now Time, l Loss) {
	w.own = slices.DeleteFunc(w.own, func(o ownLoss) bool { return o.Loss == l })
	if len(w.own) >= maxOwnLosses {
		w.own = slices.Delete(w.own, 0, 1)
	}
	w.own = append(w.own, ownLoss{Loss: l, at: now})
}

// RecordCompletion records that a request ran to its end, and reports whether it was known.
func (w *Watch) RecordCompletion(digest string) bool {
	if !w.IsSuspect(digest) && w.lossesOf(digest) == 0 {
		return false
	}
	w.drop(digest)
	if len(w.completions) < maxCompletions {
		w.completions = append(w.completions, digest)
	}
	return true
}

// RecordSoundPart records that a request with a prompt part ran to its end, and reports whether
// there is anything to report about the part.
func (w *Watch) RecordSoundPart(now Time, digest string) bool {
	if _, known := w.sound[digest]; !known && len(w.sound) >= maxSoundParts {
		w.forgetSoundParts(now)
	}
	w.sound[digest] = now
	return w.RecordCompletion(digest)
}

// forgetSoundParts forgets the parts whose time has passed, or else all of them.
func (w *Watch) forgetSoundParts(now Time) {
	maps.DeleteFunc(w.sound, func(_ string, at Time) bool { return now-at >= soundTTL })
	if len(w.sound) >= maxSoundParts {
		clear(w.sound)
	}
}

// isSound reports whether a prompt part counts as sound.
func (w *Watch) isSound(now Time, digest string) bool {
	at, ok := w.sound[digest]
	return ok && now-at < soundTTL
}

// PartQuarantineLeft returns how long requests with these shared prompt parts must not run yet
// and the index of the part that is to blame; 0 if they may. A part that a part outside the
// request explains does not count.
func (w *Watch) PartQuarantineLeft(now Time, digests []string, detached bool) (left time.Duration, index int) {
	for i, digest := range digests {
		l := w.QuarantineLeft(now, digest, detached && !w.isSound(now, digest))
		explained := slices.ContainsFunc(w.suspects[digest].ExplainedBy, func(other string) bool {
			return !slices.Contains(digests, other) && w.suspects[other].Until > now
		})
		if l > left && !explained {
			left, index = l, i
		}
	}
	return left, index
}

func (w *Watch) lossesOf(digest string) int {
	n := 0
	for _, l := range w.own {
		if l.Digest == digest {
			n++
		}
	}
	return n
}

// drop removes everything about a request.
func (w *Watch) drop(digest string) {
	delete(w.suspects, digest)
	w.own = slices.DeleteFunc(w.own, func(l ownLoss) bool { return l.Digest == digest })
}

// Watches reports whether any request is suspect or was lost here. If not, no digest need be
// computed.
func (w *Watch) Watches() bool { return len(w.suspects) > 0 || len(w.own) > 0 }

// Suspects returns the number of suspect requests.
func (w *Watch) Suspects() int { return len(w.suspects) }

// IsSuspect reports whether a request is known to have ended several incarnations. It must
// not be retried.
func (w *Watch) IsSuspect(digest string) bool {
	_, ok := w.suspects[digest]
	return ok
}

// QuarantineLeft returns how long the request must not run yet, 0 if it may. While detached,
// without a coordinator that counts for all entries, the losses seen here decide.
func (w *Watch) QuarantineLeft(now Time, digest string, detached bool) time.Duration {
	left := max(w.suspects[digest].Until-now, 0)
	if detached && left == 0 && w.lossesOf(digest) >= QuarantineLosses {
		left = firstQuarantine
	}
	return left
}

// Publish applies suspicions. A snapshot replaces all known ones. Of parts that count as sound
// here, a completion is reported.
func (w *Watch) Publish(now Time, list []Suspicion, snapshot bool) {
	if snapshot {
		clear(w.suspects)
	}
	for _, s := range list {
		if s.Cleared {
			w.drop(s.Digest)
			continue
		}
		w.suspects[s.Digest] = s
		if w.isSound(now, s.Digest) {
			w.RecordCompletion(s.Digest)
		}
	}
}

// HasUnreported reports whether there is anything to report.
func (w *Watch) HasUnreported() bool {
	return len(w.completions) > 0 || slices.ContainsFunc(w.own, func(l ownLoss) bool { return !l.reported })
}

// TakeUnreported returns what was not reported yet, and counts it as reported.
func (w *Watch) TakeUnreported(now Time) (losses []LossReport, completions []string) {
	completions, w.completions = w.completions, nil
	return w.takeLosses(now, false), completions
}

// TakeAll returns all losses of the last lossTTL, for a coordinator that may know none of
// them, and counts them as reported.
func (w *Watch) TakeAll(now Time) []LossReport {
	w.own = slices.DeleteFunc(w.own, func(l ownLoss) bool { return now-l.at >= lossTTL })
	return w.takeLosses(now, true)
}

func (w *Watch) takeLosses(now Time, all bool) []LossReport {
	var out []LossReport
	for i := range w.own {
		if l := &w.own[i]; all || !l.reported {
			l.reported = true
			out = append(out, LossReport{l.Loss, now - l.at})
		}
	}
	return out
}
