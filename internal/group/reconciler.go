// Package group computes the membership changes by which the control group grows to its
// full number of voters and replaces lost members. It performs no I/O: from the leader's
// status and the time it computes one change at a time.
package group

import (
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/replica"
	"gentiankeel/internal/wire"
)

// Time is a monotonic time since an epoch chosen by the caller.
type Time = time.Duration

// Options configures a Reconciler. Zero durations take their defaults.
type Options struct {
	// Voters is the full number of voters, 2f+1 to tolerate f losses. It has no default.
	Voters int
	// LostAfter is the time of inactivity after which a voter counts as lost and is
	// replaced if a learner is ready.
	LostAfter time.Duration
	// JoinRequestTTL is the time after which a join request expires unless it is repeated.
	JoinRequestTTL time.Duration
	// LearnerTimeout is the time of inactivity after which a learner is removed.
	LearnerTimeout time.Duration
}

// Defaults for Options.
const (
	DefaultLostAfter      = 2500 * time.Millisecond // longer than an election and a restart take
	DefaultJoinRequestTTL = 3 * time.Second         // several intervals of join requests
	DefaultLearnerTimeout = 30 * time.Second
)

// maxLearners is the maximum number of learners, since the leader sends the whole log to
// each one.
const maxLearners = 4

// Reconciler computes the membership changes of a group while its replica leads. It is not
// safe for concurrent use.
type Reconciler struct {
	opts         Options
	joinRequests map[uint64]joinRequest
	lastActive   map[uint64]Time // by member id
	term         uint64
}

type joinRequest struct {
	member     *wire.Member
	receivedAt Time
}

// New returns a reconciler with the given options.
func New(o Options) *Reconciler {
	if o.LostAfter <= 0 {
		o.LostAfter = DefaultLostAfter
	}
	if o.JoinRequestTTL <= 0 {
		o.JoinRequestTTL = DefaultJoinRequestTTL
	}
	if o.LearnerTimeout <= 0 {
		o.LearnerTimeout = DefaultLearnerTimeout
	}
	return &Reconciler{opts: o, joinRequests: map[uint64]joinRequest{}, lastActive: map[uint64]Time{}}
}

// AddJoinRequest records a request of replica m to join the group.
func (r *Reconciler) AddJoinRequest(now Time, m *wire.Member) {
	r.joinRequests[m.Id] = joinRequest{m, now}
}

// NextChange returns the next membership change, or nil if none is needed. s is the status
// of the leader.
func (r *Reconciler) NextChange(now Time, s replica.Status) *wire.ConfChange {
	r.update(now, s)
	if cc := r.addLearner(s); cc != nil {
		return cc
	}
	if cc := r.promoteOrReplace(now, s); cc != nil {
		return cc
	}
	return r.removeLearner(now, s)
}

// update records which members are active and drops expired join requests. In a new term
// the inactivity of every member starts at zero, since a new leader has had no answers yet.
func (r *Reconciler) update(now Time, s replica.Status) {
	if s.Term != r.term {
		r.term = s.Term
		clear(r.lastActive)
	}
	for _, m := range s.Members {
		if _, seen := r.lastActive[m.Id]; !seen || s.Active[m.Id] || m.Id == s.ID {
			r.lastActive[m.Id] = now
		}
	}
	for id, req := range r.joinRequests {
		if now-req.receivedAt >= r.opts.JoinRequestTTL {
			delete(r.joinRequests, id)
		}
	}
}

func (r *Reconciler) inactiveFor(now Time, id uint64) time.Duration { return now - r.lastActive[id] }

// addLearner returns the change that adds the requesting replica with the lowest id as a
// learner, or nil if there is none or the group has maxLearners.
func (r *Reconciler) addLearner(s replica.Status) *wire.ConfChange {
	learners := 0
	for _, m := range s.Members {
		if m.Learner {
			learners++
		}
	}
	if learners >= maxLearners {
		return nil
	}
	var next *wire.Member
	for _, req := range r.joinRequests {
		if s.Member(req.member.Id) == nil && (next == nil || req.member.Id < next.Id) {
			next = req.member
		}
	}
	if next == nil {
		return nil
	}
	return &wire.ConfChange{Type: wire.ConfChangeType_CONF_ADD_LEARNER, Member: next}
}

// promoteOrReplace returns the change that promotes a learner which has caught up, if the
// group needs a voter. If the learner can replace a voter, that voter is removed first,
// since an extra voter beside a dead one would raise the quorum.
func (r *Reconciler) promoteOrReplace(now Time, s replica.Status) *wire.ConfChange {
	voters := votersByAddress(s)
	for _, m := range s.Members {
		if !m.Learner || !s.Active[m.Id] || s.Match[m.Id] < s.Commit {
			continue
		}
		if v := r.replaceableVoter(now, s, m, len(voters)); v != nil {
			return &wire.ConfChange{Type: wire.ConfChangeType_CONF_REMOVE, Member: v}
		}
		if len(voters) < r.opts.Voters {
			return &wire.ConfChange{Type: wire.ConfChangeType_CONF_PROMOTE, Member: m}
		}
	}
	return nil
}

// replaceableVoter returns the voter that a learner replaces, or nil if there is none. A
// voter at the learner's address has lost its disk and is replaced at once. Otherwise the
// voter that has been inactive longest is replaced, if the group has all its voters and
// LostAfter has passed. The leader itself is never replaced.
func (r *Reconciler) replaceableVoter(now Time, s replica.Status, learner *wire.Member, voters int) *wire.Member {
	var lost *wire.Member
	for _, v := range votersByAddress(s) {
		if v.Id == s.ID {
			continue
		}
		if v.Address == learner.Address {
			return v
		}
		inactive := r.inactiveFor(now, v.Id)
		if voters >= r.opts.Voters && inactive >= r.opts.LostAfter && (lost == nil || inactive > r.inactiveFor(now, lost.Id)) {
			lost = v
		}
	}
	return lost
}

// removeLearner returns the change that removes a learner which has been inactive for
// LearnerTimeout, or nil if there is none.
func (r *Reconciler) removeLearner(now Time, s replica.Status) *wire.ConfChange {
	for _, m := range s.Members {
		if m.Learner && r.inactiveFor(now, m.Id) >= r.opts.LearnerTimeout {
			return &wire.ConfChange{Type: wire.ConfChangeType_CONF_REMOVE, Member: m}
		}
	}
	return nil
}

// HasAllVoters reports whether the group has its full number of voters.
func (r *Reconciler) HasAllVoters(s replica.Status) bool {
	return len(votersByAddress(s)) >= r.opts.Voters
}

// votersByAddress returns the voters sorted by address.
func votersByAddress(s replica.Status) []*wire.Member {
	var out []*wire.Member
	for _, m := range s.Members {
		if !m.Learner {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *wire.Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}
