// Package group decides how the control group grows to its full number of voters and
// how lost members are replaced. It has no I/O: the leader's view and the time go in,
// one membership change at a time comes out.
package group

import (
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/replica"
	"gentiankeel/internal/wire"
)

// Time is monotonic time since the keeper's start.
type Time = time.Duration

// Options of a Keeper.
type Options struct {
	Voters int // full number of voters: 2f+1 to bear f losses
	// LostAfter is the silence after which a voter gives its place to a waiting learner.
	LostAfter time.Duration
	// JoinerLife is how long an offer to join stands without being repeated.
	JoinerLife time.Duration
	// LearnerLife is the silence after which a learner is removed.
	LearnerLife time.Duration
}

// Defaults of Options.
const (
	DefaultLostAfter   = 2500 * time.Millisecond // longer than an election and a restart
	DefaultJoinerLife  = 3 * time.Second         // several offers
	DefaultLearnerLife = 30 * time.Second
)

// maxLearners bounds the learners: each one gets the whole log.
const maxLearners = 4

// Keeper watches over the membership while its replica leads. It is not safe for
// concurrent use.
type Keeper struct {
	o       Options
	joiners map[uint64]joiner
	heard   map[uint64]Time // by member: when it was last active
	term    uint64
}

type joiner struct {
	member *wire.Member
	at     Time
}

// New returns a keeper; zero options take the defaults.
func New(o Options) *Keeper {
	if o.LostAfter <= 0 {
		o.LostAfter = DefaultLostAfter
	}
	if o.JoinerLife <= 0 {
		o.JoinerLife = DefaultJoinerLife
	}
	if o.LearnerLife <= 0 {
		o.LearnerLife = DefaultLearnerLife
	}
	return &Keeper{o: o, joiners: map[uint64]joiner{}, heard: map[uint64]Time{}}
}

// Offer notes a replica that wants to join.
func (k *Keeper) Offer(now Time, m *wire.Member) { k.joiners[m.Id] = joiner{m, now} }

// Next returns the change that the group needs now, nil for none. s is the leader's view.
func (k *Keeper) Next(now Time, s replica.Status) *wire.ConfChange {
	k.observe(now, s)
	if cc := k.admit(s); cc != nil {
		return cc
	}
	if cc := k.promote(now, s); cc != nil {
		return cc
	}
	return k.forgetLearner(now, s)
}

// observe notes who is active. A new leader has heard nobody yet: everyone's silence
// begins with its term.
func (k *Keeper) observe(now Time, s replica.Status) {
	if s.Term != k.term {
		k.term = s.Term
		clear(k.heard)
	}
	for _, m := range s.Members {
		if _, seen := k.heard[m.Id]; !seen || s.Active[m.Id] || m.Id == s.ID {
			k.heard[m.Id] = now
		}
	}
	for id, j := range k.joiners {
		if now-j.at >= k.o.JoinerLife {
			delete(k.joiners, id)
		}
	}
}

func (k *Keeper) silence(now Time, id uint64) time.Duration { return now - k.heard[id] }

// admit takes the next joiner in as a learner.
func (k *Keeper) admit(s replica.Status) *wire.ConfChange {
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
	for _, j := range k.joiners {
		if s.Member(j.member.Id) == nil && (next == nil || j.member.Id < next.Id) {
			next = j.member
		}
	}
	if next == nil {
		return nil
	}
	return &wire.ConfChange{Type: wire.ConfChangeType_CONF_ADD_LEARNER, Member: next}
}

// promote makes a learner that has caught up a voter where there is a place. A voter at
// the learner's address has lost its disk; one that has been silent for long is taken
// for lost. Either leaves first: beside a dead voter, an extra one would raise the
// quorum.
func (k *Keeper) promote(now Time, s replica.Status) *wire.ConfChange {
	voters := votersOf(s)
	for _, m := range s.Members {
		if !m.Learner || !s.Active[m.Id] || s.Match[m.Id] < s.Commit {
			continue
		}
		if v := k.replaceable(now, s, m, len(voters)); v != nil {
			return &wire.ConfChange{Type: wire.ConfChangeType_CONF_REMOVE, Member: v}
		}
		if len(voters) < k.o.Voters {
			return &wire.ConfChange{Type: wire.ConfChangeType_CONF_PROMOTE, Member: m}
		}
	}
	return nil
}

// replaceable returns the voter whose place a learner takes, nil without one.
func (k *Keeper) replaceable(now Time, s replica.Status, learner *wire.Member, voters int) *wire.Member {
	var lost *wire.Member
	for _, v := range votersOf(s) {
		if v.Id == s.ID {
			continue
		}
		if v.Address == learner.Address {
			return v
		}
		silent := k.silence(now, v.Id)
		if voters >= k.o.Voters && silent >= k.o.LostAfter && (lost == nil || silent > k.silence(now, lost.Id)) {
			lost = v
		}
	}
	return lost
}

// forgetLearner removes a learner that has been silent for long.
func (k *Keeper) forgetLearner(now Time, s replica.Status) *wire.ConfChange {
	for _, m := range s.Members {
		if m.Learner && k.silence(now, m.Id) >= k.o.LearnerLife {
			return &wire.ConfChange{Type: wire.ConfChangeType_CONF_REMOVE, Member: m}
		}
	}
	return nil
}

// Full reports whether the group has all its voters.
func (k *Keeper) Full(s replica.Status) bool { return len(votersOf(s)) >= k.o.Voters }

func votersOf(s replica.Status) []*wire.Member {
	var out []*wire.Member
	for _, m := range s.Members {
		if !m.Learner {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *wire.Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}
