// Package group computes the membership changes by which the control group grows to its
// full number of voters and replaces lost members. It performs no I/O: from the leader's
// status and the time it computes one change at a time.
package group

import (
	"maps"
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

// maxLearners is the maximum number of active learners at addresses without a voter, since the
// leader sends the whole log to each one.
const maxLearners = 4

// Reconciler computes the membership changes of a group while its replica leads. It is not
// safe for concurrent use.
//
// A VM whose disk was lost comes back at its address under a new random identity. The identities
// of one address exist one after the other, so a member has ended for good once its address
// answered as another identity later than the member was known to exist.
type Reconciler struct {
	opts         Options
	joinRequests map[string]joinRequest // by address
	lastActive   map[uint64]Time        // by member id
	knownSince   map[uint64]Time        // by member id: when this reconciler first saw the member
	term         uint64
}

// joinRequest is a request to join of a replica whose address has answered with its identity.
type joinRequest struct {
	member    *wire.Member
	confirmed Time // when the address was asked
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
	return &Reconciler{opts: o, joinRequests: map[string]joinRequest{}, lastActive: map[uint64]Time{}, knownSince: map[uint64]Time{}}
}

// AddJoinRequest records a request of replica m to join the group. The address of m was asked at
// the time confirmed and answered with the identity of m. Of two requests from one address the
// one whose address was asked later is kept; the two questions must not overlap in time.
func (r *Reconciler) AddJoinRequest(confirmed Time, m *wire.Member) {
	if known, ok := r.joinRequests[m.Address]; ok && known.confirmed > confirmed {
		return
	}
	r.joinRequests[m.Address] = joinRequest{m, confirmed}
}

// NextChange returns the next membership change, or nil if none is needed. s is the status
// of the leader.
func (r *Reconciler) NextChange(now Time, s replica.Status) *wire.ConfChange {
	r.update(now, s)
	if cc := r.removeEndedLearner(s); cc != nil {
		return cc
	}
	if cc := r.addLearner(s); cc != nil {
		return cc
	}
	if cc := r.promote(s); cc != nil {
		return cc
	}
	if cc := r.replace(now, s); cc != nil {
		return cc
	}
	return r.removeInactiveLearner(now, s)
}

// update records which members are known and active, and drops expired join requests. In a new
// term the inactivity of every member starts at zero, since a new leader has had no answers yet.
func (r *Reconciler) update(now Time, s replica.Status) {
	if s.Term != r.term {
		r.term = s.Term
		clear(r.lastActive)
	}
	for _, m := range s.Members {
		if _, seen := r.lastActive[m.Id]; !seen || s.Active[m.Id] || m.Id == s.ID {
			r.lastActive[m.Id] = now
		}
		if _, known := r.knownSince[m.Id]; !known {
			r.knownSince[m.Id] = now
		}
	}
	maps.DeleteFunc(r.knownSince, func(id uint64, _ Time) bool { return s.Member(id) == nil })
	maps.DeleteFunc(r.joinRequests, func(_ string, req joinRequest) bool { return now-req.confirmed >= r.opts.JoinRequestTTL })
}

func (r *Reconciler) inactiveFor(now Time, id uint64) time.Duration { return now - r.lastActive[id] }

// hasEnded reports whether member m has lost its disk for good: a later identity has answered at
// its address.
func (r *Reconciler) hasEnded(m *wire.Member) bool {
	req, ok := r.joinRequests[m.Address]
	return ok && req.member.Id != m.Id && req.confirmed >= r.knownSince[m.Id]
}

// removeEndedLearner returns the change that removes a learner which a later identity at its
// address has replaced, or nil if there is none. It counts for no quorum.
func (r *Reconciler) removeEndedLearner(s replica.Status) *wire.ConfChange {
	for _, m := range s.Members {
		if m.Learner && r.hasEnded(m) {
			return &wire.ConfChange{Type: wire.ConfChangeType_CONF_REMOVE, Member: m}
		}
	}
	return nil
}

// addLearner returns the change that adds the requesting replica with the lowest address as a
// learner, or nil if none can be added.
func (r *Reconciler) addLearner(s replica.Status) *wire.ConfChange {
	for _, address := range slices.Sorted(maps.Keys(r.joinRequests)) {
		if m := r.joinRequests[address].member; r.canAdd(s, m) {
			return &wire.ConfChange{Type: wire.ConfChangeType_CONF_ADD_LEARNER, Member: m}
		}
	}
	return nil
}

// canAdd reports whether a replica may become a learner. The successor of a voter always may;
// other learners may not exceed maxLearners, of which inactive ones don't count.
func (r *Reconciler) canAdd(s replica.Status, m *wire.Member) bool {
	if s.Member(m.Id) != nil || slices.Contains(s.Removed, m.Id) {
		return false
	}
	learners := 0
	for _, other := range s.Members {
		switch {
		case other.Learner && other.Address == m.Address:
			return false // of which it is not known yet whether it has ended
		case other.Learner && s.Active[other.Id] && voterAt(s, other.Address) == nil:
			learners++
		}
	}
	return learners < maxLearners || voterAt(s, m.Address) != nil
}

// promote returns the change that promotes a learner which has caught up, if the group lacks a
// voter; nil otherwise. A voter at the learner's address is removed first, since two voters of
// one VM would be lost together.
func (r *Reconciler) promote(s replica.Status) *wire.ConfChange {
	if r.HasAllVoters(s) {
		return nil
	}
	for _, m := range s.Members {
		if isCaughtUp(s, m) && voterAt(s, m.Address) == nil {
			return &wire.ConfChange{Type: wire.ConfChangeType_CONF_PROMOTE, Member: m}
		}
	}
	return nil
}

// replace returns the change that removes a voter which a learner that has caught up can replace,
// or nil if there is none. The voter is removed before the learner is promoted, since an extra
// voter beside a dead one would raise the quorum. A voter whose disk is lost is removed at once;
// otherwise the voter that has been inactive longest is, if the group has all its voters and
// LostAfter has passed.
func (r *Reconciler) replace(now Time, s replica.Status) *wire.ConfChange {
	for _, m := range s.Members {
		if !isCaughtUp(s, m) {
			continue
		}
		v := voterAt(s, m.Address)
		if v == nil && r.HasAllVoters(s) {
			v = r.longestInactiveVoter(now, s)
		} else if v != nil && (v.Id == s.ID || !r.hasEnded(v)) {
			v = nil
		}
		if v != nil {
			return &wire.ConfChange{Type: wire.ConfChangeType_CONF_REMOVE, Member: v}
		}
	}
	return nil
}

// longestInactiveVoter returns the voter that has been inactive longest, and for LostAfter at
// least, or nil if there is none. It is never the leader.
func (r *Reconciler) longestInactiveVoter(now Time, s replica.Status) *wire.Member {
	var lost *wire.Member
	for _, v := range votersByAddress(s) {
		inactive := r.inactiveFor(now, v.Id)
		if v.Id != s.ID && inactive >= r.opts.LostAfter && (lost == nil || inactive > r.inactiveFor(now, lost.Id)) {
			lost = v
		}
	}
	return lost
}

// removeInactiveLearner returns the change that removes a learner which has been inactive for
// LearnerTimeout, or nil if there is none.
func (r *Reconciler) removeInactiveLearner(now Time, s replica.Status) *wire.ConfChange {
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

// voterAt returns the voter at an address, or nil if there is none.
func voterAt(s replica.Status, address string) *wire.Member {
	for _, m := range s.Members {
		if !m.Learner && m.Address == address {
			return m
		}
	}
	return nil
}

// isCaughtUp reports whether a member is an active learner that holds all committed entries.
func isCaughtUp(s replica.Status, m *wire.Member) bool {
	return m.Learner && s.Active[m.Id] && s.Match[m.Id] >= s.Commit
}

// NeedsConfirmation reports whether a request of replica m to join can change the membership, so
// that the address of m has to be asked before AddJoinRequest. s is the status of the leader.
func NeedsConfirmation(s replica.Status, m *wire.Member) bool {
	return s.Member(m.Id) == nil || slices.ContainsFunc(s.Members, func(other *wire.Member) bool {
		return other.Address == m.Address && other.Id != m.Id
	})
}
