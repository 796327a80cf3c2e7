package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func lossOn(digest string, upstream int) Loss {
	return Loss{digest, Incarnation{fmt.Sprintf("u%d", upstream), int64(upstream)}}
}

// tallyWithLosses returns a tally in which a request was lost on the upstreams 1 to n, one
// each second from 0 on.
func tallyWithLosses(n int) *Tally {
	t := NewTally()
	for i := 1; i <= n; i++ {
		t.RecordLoss(time.Duration(i-1)*time.Second, lossOn("d", i), 0)
	}
	return t
}

func TestLoss_ThirdIncarnation(t *testing.T) {
	is := is.New(t)
	is.Equal(tallyWithLosses(1).TakeChanges(), nil)
	is.Equal(tallyWithLosses(2).TakeChanges(), []Suspicion{{Digest: "d"}})
	three := tallyWithLosses(3)
	is.Equal(three.TakeChanges(), []Suspicion{{Digest: "d", Until: 2*time.Second + firstQuarantine}})
	is.Equal(len(three.TakeUnsaved()), 3)
	three.RecordLoss(10*time.Second, lossOn("d", 3), 0) // from another entry
	is.Equal(three.TakeChanges(), nil)
	is.Equal(three.TakeUnsaved(), nil)
	three.RecordLoss(20*time.Second, lossOn("d", 4), 0)
	is.Equal(three.TakeChanges(), []Suspicion{{Digest: "d", Until: 20*time.Second + 2*firstQuarantine}})
	is.Equal(three.TakeUnsaved(), []Loss{lossOn("d", 4)})
}

func TestLoss_UpstreamStillAlive(t *testing.T) {
	is := is.New(t)
	tally := tallyWithLosses(3)
	third := lossOn("d", 3).Incarnation
	tally.Alive(2*time.Second+refuteDelay/2, third) // may have been sent before the loss
	is.Equal(tally.TakeChanges()[0].Until > 0, true)
	tally.Alive(3*time.Second, third)
	is.Equal(tally.TakeChanges(), []Suspicion{{Digest: "d"}})
	tally.Alive(3*time.Second, lossOn("d", 1).Incarnation)
	is.Equal(tally.TakeChanges(), []Suspicion{{Digest: "d", Cleared: true}})
}

func TestLoss_LateHeartbeatBeforeNewIncarnation(t *testing.T) {
	is := is.New(t)
	tally := tallyWithLosses(3)
	third := lossOn("d", 3).Incarnation
	tally.Alive(4*time.Second, third)
	tally.Ended(6*time.Second, third)
	is.Equal(tally.TakeChanges()[0].Until > 0, true)
}

func TestLoss_UpstreamEndsLongAfter(t *testing.T) {
	is := is.New(t)
	tally := tallyWithLosses(3)
	third := lossOn("d", 3).Incarnation
	tally.Alive(4*time.Second, third)
	tally.Ended(2*time.Second+endWindow+1, third)
	is.Equal(tally.TakeChanges(), []Suspicion{{Digest: "d"}})
}

func TestCompletion_SuspectForgotten(t *testing.T) {
	is := is.New(t)
	tally := tallyWithLosses(3)
	tally.TakeChanges()
	tally.RecordCompletion("d")
	is.Equal(tally.TakeChanges(), []Suspicion{{Digest: "d", Cleared: true}})
	is.Equal(len(tally.Suspicions()), 0)
	is.Equal(len(tally.open), 0)
}

func TestRestore_NewCoordinator(t *testing.T) {
	is := is.New(t)
	tally := NewTally()
	lost := []Incarnation{lossOn("d", 1).Incarnation, lossOn("d", 2).Incarnation, lossOn("d", 3).Incarnation}
	tally.Restore("d", lost, -time.Minute)
	tally.RecordLoss(0, lossOn("d", 2), time.Minute) // from an entry that remembers it
	is.Equal(tally.Suspicions(), []Suspicion{{Digest: "d", Until: firstQuarantine - time.Minute}})
	is.Equal(tally.TakeUnsaved(), nil)
}

func TestExpire_LossesTooOld(t *testing.T) {
	is := is.New(t)
	tally := tallyWithLosses(2)
	tally.TakeChanges()
	tally.Expire(time.Second + lossTTL - 1)
	is.Equal(len(tally.Suspicions()), 1)
	tally.Expire(time.Second + lossTTL)
	is.Equal(tally.TakeChanges(), []Suspicion{{Digest: "d", Cleared: true}})
	is.Equal(len(tally.requests)+len(tally.open), 0)
}

func TestTally_TooManyRequests(t *testing.T) {
	is := is.New(t)
	tally := tallyWithLosses(3)
	for i := range maxRequests + 100 {
		tally.RecordLoss(time.Minute, lossOn(fmt.Sprint("other", i), i%7), 0)
	}
	is.Equal(len(tally.requests), maxRequests)
	open := 0
	for _, digests := range tally.open {
		open += len(digests)
	}
	is.Equal(open, maxRequests+2) // one for each request with one loss, three for the other
	is.Equal(len(tally.Suspicions()), 1)
}

func TestWatch_LossesReportedOnce(t *testing.T) {
	is := is.New(t)
	w := NewWatch()
	w.RecordLoss(0, lossOn("d", 1))
	w.RecordLoss(0, lossOn("d", 1))
	w.RecordLoss(time.Second, lossOn("d", 2))
	losses, _ := w.TakeUnreported(2 * time.Second)
	is.Equal(losses, []LossReport{{lossOn("d", 1), 2 * time.Second}, {lossOn("d", 2), time.Second}})
	is.True(!w.HasUnreported())
	is.Equal(len(w.TakeAll(2*time.Second)), 2) // to another coordinator
	is.Equal(len(w.TakeAll(lossTTL)), 1)
}

func TestWatch_TooManyLosses(t *testing.T) {
	is := is.New(t)
	w := NewWatch()
	for i := range 3 * maxOwnLosses {
		w.RecordLoss(0, lossOn("d", i))
	}
	is.Equal(len(w.own), maxOwnLosses)
}

func TestWatch_Detached(t *testing.T) {
	is := is.New(t)
	w := NewWatch()
	for i := range QuarantineLosses {
		w.RecordLoss(0, lossOn("d", i))
	}
	is.Equal(w.QuarantineLeft(0, "d", false), time.Duration(0)) // the coordinator decides
	is.True(w.QuarantineLeft(0, "d", true) > 0)
}

func TestWatch_SnapshotOfNewCoordinator(t *testing.T) {
	is := is.New(t)
	w := NewWatch()
	w.Publish(0, []Suspicion{{Digest: "a", Until: time.Minute}, {Digest: "b"}}, false)
	is.Equal(w.QuarantineLeft(time.Second, "a", false), 59*time.Second)
	is.True(w.IsSuspect("b"))
	w.Publish(0, []Suspicion{{Digest: "b", Until: time.Minute}}, true)
	is.True(!w.IsSuspect("a"))
	is.True(w.RecordCompletion("b"))
	is.True(!w.RecordCompletion("b"))
	_, completions := w.TakeUnreported(0)
	is.Equal(completions, []string{"b"})
}

// innocentBeside returns a tally in which the request "d" ended three upstreams, and the
// request "i" was running beside it each time.
func innocentBeside() *Tally {
	t := NewTally()
	for i := 1; i <= QuarantineLosses; i++ {
		t.RecordLoss(time.Duration(i)*time.Second, lossOn("d", i), 0)
		t.RecordLoss(time.Duration(i)*time.Second, lossOn("i", i), 0)
	}
	return t
}

func quarantined(t *Tally) []string {
	var out []string
	for _, s := range t.Suspicions() {
		if s.Until > 0 {
			out = append(out, s.Digest)
		}
	}
	return out
}

func TestLoss_AnotherRequestExplainsIt(t *testing.T) {
	is := is.New(t)
	tally := innocentBeside()
	is.Equal(quarantined(tally), []string{"d"})
	tally.RecordCompletion("i")
	is.Equal(quarantined(tally), []string{"d"})
}

func TestLoss_ExplainedRequestEndsAnother(t *testing.T) {
	is := is.New(t)
	tally := innocentBeside()
	tally.TakeChanges()
	tally.RecordLoss(9*time.Second, lossOn("i", 4), 0) // while "d" could not run
	is.Equal(quarantined(tally), []string{"i"})
	is.Equal(len(tally.TakeChanges()), 2)
	tally.RecordLoss(10*time.Second, lossOn("d", 5), 0)
	is.Equal(quarantined(tally), []string{"d", "i"})
}

func TestLoss_ExplanationRunsToItsEnd(t *testing.T) {
	is := is.New(t)
	tally := innocentBeside()
	tally.RecordCompletion("d")
	is.Equal(quarantined(tally), []string{"i"})
}

func TestRestore_TooManyRequests(t *testing.T) {
	is := is.New(t)
	tally := NewTally()
	lost := []Incarnation{lossOn("d", 1).Incarnation, lossOn("d", 2).Incarnation, lossOn("d", 3).Incarnation}
	for i := range maxRequests + 100 {
		tally.Restore(fmt.Sprint("d", i), lost, 0)
	}
	is.Equal(len(tally.requests), maxRequests)
	is.Equal(len(tally.lethal), maxRequests)
	is.True(len(quarantined(tally)) > maxCompared)
}

// An answer may be cut while its upstream goes on, and a later run of the same request end it.
func TestLoss_AgainOnTheSameIncarnation(t *testing.T) {
	is := is.New(t)
	tally := tallyWithLosses(3)
	third := lossOn("d", 3)
	tally.Alive(4*time.Second, third.Incarnation)
	is.Equal(tally.TakeChanges(), []Suspicion{{Digest: "d"}})
	tally.RecordLoss(5*time.Second, third, 3*time.Second) // the first loss, reported again
	is.Equal(tally.TakeChanges(), nil)
	tally.RecordLoss(60*time.Second, third, 0)
	is.Equal(tally.TakeChanges()[0].Until > 0, true)

	w := NewWatch()
	w.RecordLoss(0, third)
	w.TakeUnreported(0)
	w.RecordLoss(time.Minute, third)
	losses, _ := w.TakeUnreported(time.Minute)
	is.Equal(losses, []LossReport{{third, 0}})
}

// lethalParts returns a tally in which parts were lost together on the upstreams 1 to 3.
func lethalParts(digests ...string) *Tally {
	t := NewTally()
	for i := 1; i <= 3; i++ {
		for _, d := range digests {
			t.RecordLoss(time.Duration(i)*time.Second, lossOn(d, i), 0)
		}
	}
	return t
}

func TestPart_UpstreamsEndTogether(t *testing.T) {
	is := is.New(t)
	tally := NewTally()
	for i := 1; i <= 5; i++ {
		tally.RecordLoss(time.Second, lossOn(PartDigest("a"), i), 0)
	}
	is.Equal(tally.Suspicions(), nil)
	tally.RecordLoss(2*time.Second, lossOn(PartDigest("a"), 6), 0)
	tally.RecordLoss(3*time.Second, lossOn(PartDigest("a"), 7), 0)
	is.Equal(tally.Suspicions()[0].Until, 3*time.Second+firstPartQuarantine)
}

func TestPart_SharedWithSoundRequests(t *testing.T) {
	is := is.New(t)
	shared, bad, now := PartDigest("shared"), PartDigest("bad"), 4*time.Second
	tally, w := lethalParts(shared, bad), NewWatch()
	w.Publish(now, tally.TakeChanges(), false)
	left, _ := w.PartQuarantineLeft(now, []string{shared, bad}, false)
	is.True(left > 0)
	left, _ = w.PartQuarantineLeft(now, []string{shared}, false) // the bad one may be to blame
	is.Equal(left, time.Duration(0))
	tally.RecordLoss(now, lossOn(shared, 4), 0) // it ran without the bad one
	w.Publish(now, tally.TakeChanges(), false)
	left, _ = w.PartQuarantineLeft(now, []string{shared}, false)
	is.True(left > 0)
}

// A part in quarantine can't be answered any more, so answers from before have to clear it.
func TestPart_AnsweredBeforeItsQuarantine(t *testing.T) {
	is := is.New(t)
	shared, now := PartDigest("shared"), 4*time.Second
	tally, w := lethalParts(shared), NewWatch()
	is.Equal(w.RecordSoundPart(now, shared), false)
	w.Publish(now, tally.TakeChanges(), false)
	_, completed := w.TakeUnreported(now)
	is.Equal(completed, []string{shared})
	tally.RecordCompletion(completed[0])
	is.Equal(tally.TakeChanges(), []Suspicion{{Digest: shared, Cleared: true}})
}

func TestWatch_SoundPartsAreBounded(t *testing.T) {
	is := is.New(t)
	w := NewWatch()
	for i := range 3 * maxSoundParts {
		w.RecordSoundPart(0, fmt.Sprint(i))
	}
	is.True(len(w.sound) <= maxSoundParts)
}
