package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/wire"
)

// ReplaceStep is a step of a replacement.
type ReplaceStep string

// Steps of a replacement. A lost replica is removed before the new one is promoted:
// otherwise the lost voter would still count towards the quorum, and one more loss would
// leave only half of the voters. A replica that is still active is removed after the
// promotion.
const (
	ReplaceLearnerAdded ReplaceStep = "learner added"
	ReplaceCatchingUp   ReplaceStep = "learner catches up"
	ReplacePromoted     ReplaceStep = "new replica votes"
	ReplaceRemoved      ReplaceStep = "old replica removed"
	ReplaceRepaired     ReplaceStep = "repaired"
)

// Replace replaces the replica with the id lost by the new replica member and returns once
// Status.Repaired holds. It must be called at the leader. It is idempotent: after
// ErrNotLeader or a crash, a call at the current leader continues from the last completed
// step. On ErrGroupFull nothing was changed. report may be nil; it is called after each
// step, but for ReplaceCatchingUp at its start.
func (n *Node) Replace(ctx context.Context, lost uint64, member *wire.Member, report func(ReplaceStep)) error {
	r := &replacement{n: n, lost: lost, member: member, report: report}
	if r.report == nil {
		r.report = func(ReplaceStep) {}
	}
	return r.run(ctx)
}

type replacement struct {
	n      *Node
	lost   uint64
	member *wire.Member
	report func(ReplaceStep)
}

// canAddVoter reports whether the new replica may become a voter. It may not if the group
// has all its voters and lost is not among them, since an extra voter would raise the
// quorum.
func (r *replacement) canAddVoter(s Status) bool {
	voters := 0
	for _, m := range s.Members {
		if m.Learner {
			continue
		}
		if m.Id == r.lost || m.Id == r.member.Id {
			return true
		}
		voters++
	}
	return voters < r.n.opts.Voters
}

func (r *replacement) run(ctx context.Context) error {
	s := r.n.Status()
	if !s.IsLeader {
		return ErrNotLeader
	}
	if !r.canAddVoter(s) {
		return ErrGroupFull
	}
	if err := r.addLearner(ctx); err != nil {
		return err
	}
	r.report(ReplaceCatchingUp)
	if err := r.waitUntil(ctx, r.caughtUp); err != nil {
		return err
	}
	steps := []func(context.Context) error{r.remove, r.promote}
	if r.n.Status().Active[r.lost] {
		steps = []func(context.Context) error{r.promote, r.remove}
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if err := r.waitUntil(ctx, func(s Status) bool { return s.Repaired }); err != nil {
		return err
	}
	r.report(ReplaceRepaired)
	return nil
}

func (r *replacement) addLearner(ctx context.Context) error {
	if r.n.Status().Member(r.member.Id) != nil {
		return nil
	}
	err := r.change(ctx, wire.ConfChangeType_CONF_ADD_LEARNER, r.member)
	if err == nil {
		r.report(ReplaceLearnerAdded)
	}
	return err
}

func (r *replacement) caughtUp(s Status) bool {
	return s.Active[r.member.Id] && s.Match[r.member.Id] >= s.Commit
}

func (r *replacement) promote(ctx context.Context) error {
	m := r.n.Status().Member(r.member.Id)
	if m == nil || !m.Learner {
		return nil
	}
	err := r.change(ctx, wire.ConfChangeType_CONF_PROMOTE, r.member)
	if err == nil {
		r.report(ReplacePromoted)
	}
	return err
}

func (r *replacement) remove(ctx context.Context) error {
	if r.n.Status().Member(r.lost) == nil {
		return nil
	}
	err := r.change(ctx, wire.ConfChangeType_CONF_REMOVE, &wire.Member{Id: r.lost})
	if err == nil {
		r.report(ReplaceRemoved)
	}
	return err
}

// change proposes one membership change. It retries while another change is pending or the
// learner is behind.
func (r *replacement) change(ctx context.Context, t wire.ConfChangeType, m *wire.Member) error {
	cc := &wire.ConfChange{Type: t, Member: m}
	for {
		err := r.n.ChangeMembership(ctx, cc)
		if !errors.Is(err, raft.ErrConfChangePending) && !errors.Is(err, raft.ErrLearnerBehind) {
			return err
		}
		if err := r.sleep(ctx); err != nil {
			return err
		}
	}
}

// waitUntil polls the status until ready returns true. It returns ErrNotLeader if this
// replica loses the leadership, and ErrStopped once it has stopped: its status is that of
// before then.
func (r *replacement) waitUntil(ctx context.Context, ready func(Status) bool) error {
	for {
		s := r.n.Status()
		select {
		case <-r.n.done:
			return ErrStopped
		default:
		}
		if !s.IsLeader {
			return ErrNotLeader
		}
		if ready(s) {
			return nil
		}
		if err := r.sleep(ctx); err != nil {
			return err
		}
	}
}

func (r *replacement) sleep(ctx context.Context) error {
	timer := time.NewTimer(r.n.opts.Heartbeat)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.n.done:
		return ErrStopped
	case <-timer.C:
		return nil
	}
}
