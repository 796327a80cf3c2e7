package coordinator

import (
	"context"
	"math"
	"time"

	"gentiankeel/internal/fleet"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/suspect"
	"gentiankeel/internal/wire"
)

// saveRetryInterval is the pause after a failed commit of a loss.
const saveRetryInterval = 500 * time.Millisecond

// reportRuns passes the lost and answered runs of an entry's report to the core.
func (t *term) reportRuns(rep *wire.EntryReport) {
	if len(rep.LostRuns) == 0 && len(rep.Answers) == 0 {
		return
	}
	var ev fleet.RunsReported
	for _, l := range rep.LostRuns {
		if l.Ended || !l.Inferred {
			t.server.m.lostRuns.Inc()
		}
		run := suspect.LostRun{Incarnation: suspect.Incarnation{Upstream: l.Upstream, BornUnixMs: l.BornUnixMs}, Software: l.Software,
			Inferred: l.Inferred, Ended: l.Ended, Ran: time.Duration(l.RanMs) * time.Millisecond}
		for _, digest := range l.Traits {
			run.Traits = append(run.Traits, suspect.TraitOf(digest))
		}
		ev.Lost = append(ev.Lost, suspect.LossReport{LostRun: run, Age: time.Duration(l.AgeMs) * time.Millisecond,
			Span: time.Duration(l.SpanMs) * time.Millisecond})
	}
	for _, a := range rep.Answers {
		answers := suspect.AnswerReport{Trait: suspect.TraitOf(a.Trait)}
		for _, answer := range a.Answers {
			answers.Answers = append(answers.Answers, suspect.AnswerAge{Age: time.Duration(answer.AgeMs) * time.Millisecond,
				Incarnation: suspect.Incarnation{Upstream: answer.Upstream, BornUnixMs: answer.BornUnixMs}})
		}
		ev.Answers = append(ev.Answers, answers)
	}
	t.step(ev)
}

// suspectTraits returns suspicions as they are sent to entries.
func (t *term) suspectTraits(list []suspect.Suspicion) []*wire.SuspectTrait {
	var out []*wire.SuspectTrait
	for _, s := range list {
		left := max(s.Until-t.now(), 0)
		out = append(out, &wire.SuspectTrait{Trait: string(s.Trait), Cleared: s.Cleared, Held: s.Until != 0,
			QuarantineMs: uint32(min(left.Milliseconds(), math.MaxUint32))})
	}
	return out
}

// restoreSuspects passes the saved traits in quarantine to the core.
func (t *term) restoreSuspects() {
	for _, row := range t.server.o.Control.Suspects() {
		if len(row.Upstreams) < suspect.MinSavedLosses {
			continue
		}
		ev := fleet.SuspectRestored{Trait: suspect.Trait(row.BodyDigest), Age: max(time.Since(time.UnixMilli(row.LastUnixMs)), 0)}
		for _, key := range row.Upstreams {
			upstream, born := wire.ParseSuspectKey(key)
			ev.Lost = append(ev.Lost, suspect.Incarnation{Upstream: upstream, BornUnixMs: int64(born)})
		}
		t.step(ev)
	}
}

// saveLosses commits losses to the replicated log, again until it succeeds or the term ends.
// A loss that was committed before changes nothing.
func (t *term) saveLosses(losses []suspect.Loss) {
	t.wg.Go(func() {
		for _, l := range losses {
			for t.ctx.Err() == nil && !t.saveLoss(l) {
				_ = pause.For(t.ctx, saveRetryInterval)
			}
		}
	})
}

// saveLoss commits a loss and reports whether it need not be tried again. One that the log
// refuses as invalid is dropped.
func (t *term) saveLoss(l suspect.Loss) bool {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	res, err := t.server.o.Control.ReportDeath(ctx, &wire.ReportDeath{
		BodyDigest: string(l.Trait), Upstream: l.Upstream, Incarnation: uint64(max(l.BornUnixMs, 1)),
	})
	if err != nil {
		t.log.Warn("A loss could not be saved.", "trait", l.Trait, "upstream", l.Upstream, "error", err)
		return false
	}
	if res.Code != wire.ResultCode_RESULT_OK {
		t.log.Error("A loss was refused as invalid.", "trait", l.Trait, "upstream", l.Upstream, "born", l.BornUnixMs, "detail", res.Detail)
		return true
	}
	t.log.Info("Loss saved.", "trait", l.Trait, "upstream", l.Upstream, "born", l.BornUnixMs, "index", res.Index)
	return true
}
