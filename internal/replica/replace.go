package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/wire"
)

// ReplaceStep is the progress of a replacement.
type ReplaceStep string

// The steps of a replacement. A lost replica leaves before the new one may vote: with
// the new one as an extra voter beside a dead one, a further loss would leave half of
// the voters and no quorum. A replica that still answers leaves last.
const (
	ReplaceJoining    ReplaceStep = "learner added"
	ReplaceCatchingUp ReplaceStep = "learner catches up"
	ReplacePromoted   ReplaceStep = "new replica votes"
	ReplaceRemoved    ReplaceStep = "old replica removed"
	ReplaceRepaired   ReplaceStep = "repaired"
)

// Replace puts member in the place of the replica lost and returns once the group is
// repaired. It runs at the leader; after ErrNotLeader or a crash it may be called again
// anywhere and goes on where it was. ErrNoVacancy: nothing was changed. report may be nil.
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

// vacant reports whether the new replica may become a voter: an extra voter would raise
// the quorum.
func (r *replacement) vacant(s Status) bool {
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
	if !r.vacant(s) {
		return ErrNoVacancy
	}
	if err := r.join(ctx); err != nil {
		return err
	}
	r.report(ReplaceCatchingUp)
	if err := r.await(ctx, r.caughtUp); err != nil {
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
	if err := r.await(ctx, func(s Status) bool { return s.Repaired }); err != nil {
		return err
	}
	r.report(ReplaceRepaired)
	return nil
}

func (r *replacement) join(ctx context.Context) error {
	if r.n.Status().Member(r.member.Id) != nil {
		return nil
	}
	err := r.change(ctx, wire.ConfChangeType_CONF_ADD_LEARNER, r.member)
	if err == nil {
		r.report(ReplaceJoining)
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

// change proposes one change and waits while another one is open.
func (r *replacement) change(ctx context.Context, t wire.ConfChangeType, m *wire.Member) error {
	cc := &wire.ConfChange{Type: t, Member: m}
	for {
		err := r.n.ChangeMembership(ctx, cc)
		if !errors.Is(err, raft.ErrConfOpen) && !errors.Is(err, raft.ErrLearnerBehind) {
			return err
		}
		if err := r.pause(ctx); err != nil {
			return err
		}
	}
}

// await polls the status until ready holds; ErrNotLeader once the leadership is lost.
func (r *replacement) await(ctx context.Context, ready func(Status) bool) error {
	for {
		s := r.n.Status()
		if !s.IsLeader {
			return ErrNotLeader
		}
		if ready(s) {
			return nil
		}
		if err := r.pause(ctx); err != nil {
			return err
		}
	}
}

func (r *replacement) pause(ctx context.Context) error {
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
