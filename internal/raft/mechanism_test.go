package raft

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/wire"
)

// Each scenario must pass as it is and fail, for its reason, without one mechanism.
func TestRaft_EachMechanismIsNeeded(t *testing.T) {
	for _, tc := range []struct {
		name     string
		seed     uint64
		without  faults
		scenario func(*sim)
		want     string
	}{
		{"pre-vote", 3, faults{noPreVote: true}, rejoinAfterIsolation, "deposed the leader"},
		{"check-quorum", 3, faults{noCheckQuorum: true}, isolatedLeader, "isolated leader goes on"},
		{"lease margin", 3, faults{noLeaseMargin: true}, leaseOfASlowClock, "misses acknowledged entry"},
		{"sync before acknowledgement", 3, faults{noSyncBeforeAck: true}, powerLossAfterAck, "is committed as term"},
		{"identity on disk", 3, faults{noIdentityCheck: true}, emptiedDiskComesBack, "is committed as term"},
		{"membership change guard", 3, faults{noConfGuard: true}, twoOpenConfChanges, "open-conf-changes"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			whole := newSim(tc.seed, 3, faults{})
			tc.scenario(whole)
			is.Equal(whole.failure, "")
			broken := newSim(tc.seed, 3, tc.without)
			tc.scenario(broken)
			t.Log("caught:", broken.failure)
			is.True(strings.Contains(broken.failure, tc.want))
		})
	}
}

func rejoinAfterIsolation(s *sim) {
	lead := s.awaitLeader()
	term := lead.core.Term()
	away := s.otherThan(lead)
	s.isolate(away.id, true)
	s.run(10 * simElection)
	clear(s.cut)
	s.run(10 * simElection)
	if lead.core.Term() != term || !lead.core.IsLeader() {
		s.fail("a replica that came back deposed the leader")
	}
}

func isolatedLeader(s *sim) {
	lead := s.awaitLeader()
	s.isolate(lead.id, true)
	s.run(3 * simElection)
	if lead.core.IsLeader() {
		s.fail("an isolated leader goes on")
	}
}

// leaseOfASlowClock cuts off a leader whose clock runs slower than the others' and goes
// on reading from it.
func leaseOfASlowClock(s *sim) {
	s.maxDelay = 200 * time.Microsecond
	slow := s.nodes[0]
	s.crashAll()
	for _, nd := range s.nodes {
		nd.rate = 1.1
	}
	slow.rate = 0.9
	for _, nd := range s.nodes {
		s.boot(nd)
	}
	for i := 0; i < 60 && s.failure == ""; i++ {
		s.put()
		if lead := s.leader(); lead != slow {
			s.after(lead, lead.core.Transfer(s.clock(lead), slow.id))
			s.run(simElection)
			continue
		}
		s.run(simElection)
		s.isolate(slow.id, true)
		for range 150 {
			s.run(time.Millisecond)
			if next := s.leader(); next != nil && next != slow && next.core.openConfChanges() == 0 {
				s.startWrite(next)
			}
			s.startRead(slow)
		}
		clear(s.cut)
	}
}

func powerLossAfterAck(s *sim) {
	s.put()
	s.slowDisk = true
	for range 20 {
		s.put()
		s.crashAll()
		for _, nd := range s.nodes {
			s.restart(nd)
		}
		s.run(3 * simElection)
		for _, nd := range s.nodes {
			var back *RolledBackError
			if errors.As(nd.stopped, &back) {
				s.fail("replica %d forgot what it acknowledged: %v", nd.id, back)
			}
		}
	}
}

func emptiedDiskComesBack(s *sim) {
	s.put()
	s.run(simElection)
	lead := s.leader()
	behind := s.otherThan(lead)
	s.isolate(behind.id, true)
	s.put()
	s.put()
	third := s.otherThan(lead, behind)
	s.crash(third)
	third.disk = s.emptyDisk(third.id, true)
	s.isolate(behind.id, false)
	s.isolate(lead.id, true)
	s.boot(third)
	s.run(20 * simElection)
	if nd := s.leader(); nd != nil && nd != lead && nd.core.ownTermCommitted() {
		s.fail("a quorum without acknowledged entries elected a leader")
	}
}

func twoOpenConfChanges(s *sim) {
	lead := s.awaitLeader()
	add := func(id uint64) error {
		_, _, err := lead.core.ProposeConfChange(s.clock(lead), &wire.ConfChange{
			Type: wire.ConfChangeType_CONF_ADD_LEARNER, Member: &wire.Member{Id: id},
		})
		return err
	}
	if err := add(11); err != nil {
		s.fail("first change: %v", err)
		return
	}
	if err := add(12); !errors.Is(err, ErrConfOpen) {
		s.fail("second change: %v", err)
	}
}

func (s *sim) otherThan(not ...*simNode) *simNode {
	for _, nd := range s.nodes {
		skip := false
		for _, o := range not {
			skip = skip || o == nd
		}
		if !skip {
			return nd
		}
	}
	return nil
}

// fixedCore returns a confirmed core with a log of the given terms.
func fixedCore(t *testing.T, id uint64, f faults, terms ...uint64) *Core {
	t.Helper()
	members := []*wire.Member{{Id: 1}, {Id: 2}, {Id: 3}}
	st := Restored{
		Identity:  &wire.Identity{Id: id, Cluster: "sim", Boot: 1, Nonce: id},
		HardState: &wire.HardState{Term: 3, LeaderTerm: 3},
		Snapshot:  BootstrapSnapshot(members), BaseIndex: BootstrapIndex, BaseTerm: BootstrapTerm,
	}
	for i, term := range terms {
		st.Entries = append(st.Entries, &wire.LogEntry{Term: term, Index: uint64(i) + 2, Data: []byte{byte(term), 0}})
	}
	c, err := New(Config{ID: id, Cluster: "sim", ElectionTimeout: simElection, MaxAppendBytes: 1, faults: f}, st, 0)
	if err != nil {
		t.Fatal(err)
	}
	c.verified = true
	return c
}

// drive syncs and hands out all messages of a core.
func drive(t *testing.T, c *Core) []*wire.RaftMessage {
	t.Helper()
	var out []*wire.RaftMessage
	for c.HasReady(true) {
		rd := c.Ready(true)
		out = append(out, rd.Messages...)
		msgs, err := c.Advance(c.lastNow)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, msgs...)
	}
	return out
}

// An entry of an older term that reached a quorum can still be replaced by a leader
// with a newer last term, so that it must not be committed by counting alone.
func TestRaft_EntryOfAnOlderTermIsNotCommittedByCountingReplicas(t *testing.T) {
	is := is.New(t)
	commitAfter := func(f faults) uint64 {
		c1 := fixedCore(t, 1, f, 2)
		c2 := fixedCore(t, 2, f)
		drive(t, c1)
		is.NoErr(c1.Tick(3 * simElection))
		is.NoErr(c2.Tick(3 * simElection))
		for range 20 {
			for _, m := range drive(t, c1) {
				// Only the entry of the older term gets through to replica 2.
				late := m.Type == wire.MsgType_MSG_APP && m.Index >= 2 && c2.log.last() >= 2
				if m.To == 2 && !late {
					is.NoErr(c2.Step(3*simElection, m))
				}
			}
			for _, m := range drive(t, c2) {
				if m.To == 1 {
					is.NoErr(c1.Step(3*simElection, m))
				}
			}
		}
		is.True(c1.IsLeader())
		is.Equal(c1.progress[2].match, uint64(2))
		return c1.commit
	}
	is.Equal(commitAfter(faults{}), uint64(BootstrapIndex))
	is.Equal(commitAfter(faults{noOwnTermCommit: true}), uint64(2)) // the broken variant is caught
}
