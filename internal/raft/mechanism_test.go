package raft

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/wire"
)

// Each scenario must pass with all mechanisms, and fail with the expected message if the
// named mechanism is disabled.
func TestRaft_MechanismDisabled(t *testing.T) {
	for _, tc := range []struct {
		name     string
		seed     uint64
		without  disabledMechanisms
		scenario func(*sim)
		want     string
	}{
		{"pre-vote", 3, disabledMechanisms{preVote: true}, rejoinAfterIsolation, "deposed the leader"},
		{"check-quorum", 3, disabledMechanisms{checkQuorum: true}, isolateLeader, "isolated leader still leads"},
		{"lease margin", 3, disabledMechanisms{leaseMargin: true}, leaseWithSlowClock, "misses acknowledged entry"},
		{"sync before acknowledgement", 3, disabledMechanisms{syncBeforeAck: true}, powerLossAfterAck, "is committed with term"},
		{"identity on disk", 3, disabledMechanisms{identityCheck: true}, restartWithEmptiedDisk, "is committed with term"},
		{"membership change guard", 3, disabledMechanisms{confChangeGuard: true}, secondPendingConfChange, "open-conf-changes"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			intact := newSim(tc.seed, 3, disabledMechanisms{})
			tc.scenario(intact)
			is.Equal(intact.failure, "")
			ablated := newSim(tc.seed, 3, tc.without)
			tc.scenario(ablated)
			t.Log("detected:", ablated.failure)
			is.True(strings.Contains(ablated.failure, tc.want))
		})
	}
}

func rejoinAfterIsolation(s *sim) {
	lead := s.awaitLeader()
	term := lead.core.Term()
	isolated := s.nodeExcept(lead)
	s.isolate(isolated.id, true)
	s.run(10 * simElection)
	clear(s.cutLinks)
	s.run(10 * simElection)
	if lead.core.Term() != term || !lead.core.IsLeader() {
		s.fail("a replica that rejoined deposed the leader")
	}
}

func isolateLeader(s *sim) {
	lead := s.awaitLeader()
	s.isolate(lead.id, true)
	s.run(3 * simElection)
	if lead.core.IsLeader() {
		s.fail("an isolated leader still leads")
	}
}

// leaseWithSlowClock isolates a leader whose clock runs slower than the others' and keeps
// reading from it.
func leaseWithSlowClock(s *sim) {
	s.maxDelay = 200 * time.Microsecond
	slow := s.nodes[0]
	s.crashAll()
	for _, nd := range s.nodes {
		nd.clockRate = 1.1
	}
	slow.clockRate = 0.9
	for _, nd := range s.nodes {
		s.boot(nd)
	}
	for i := 0; i < 60 && s.failure == ""; i++ {
		s.commitWrite()
		if lead := s.leader(); lead != slow {
			s.handleResult(lead, lead.core.Transfer(s.clock(lead), slow.id))
			s.run(simElection)
			continue
		}
		s.run(simElection)
		s.isolate(slow.id, true)
		for range 150 {
			s.run(time.Millisecond)
			if next := s.leader(); next != nil && next != slow && next.core.pendingConfChanges() == 0 {
				s.startWrite(next)
			}
			s.startRead(slow)
		}
		clear(s.cutLinks)
	}
}

func powerLossAfterAck(s *sim) {
	s.commitWrite()
	s.slowDisk = true
	for range 20 {
		s.commitWrite()
		s.crashAll()
		for _, nd := range s.nodes {
			s.restart(nd)
		}
		s.run(3 * simElection)
		for _, nd := range s.nodes {
			var rolledBack *RolledBackError
			if errors.As(nd.stopErr, &rolledBack) {
				s.fail("replica %d lost acknowledged state: %v", nd.id, rolledBack)
			}
		}
	}
}

func restartWithEmptiedDisk(s *sim) {
	s.commitWrite()
	s.run(simElection)
	lead := s.leader()
	behind := s.nodeExcept(lead)
	s.isolate(behind.id, true)
	s.commitWrite()
	s.commitWrite()
	third := s.nodeExcept(lead, behind)
	s.crash(third)
	third.disk = s.emptyDisk(third.id, true)
	s.isolate(behind.id, false)
	s.isolate(lead.id, true)
	s.boot(third)
	s.run(20 * simElection)
	if nd := s.leader(); nd != nil && nd != lead && nd.core.committedInCurrentTerm() {
		s.fail("a quorum without acknowledged entries elected a leader")
	}
}

func secondPendingConfChange(s *sim) {
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
	if err := add(12); !errors.Is(err, ErrConfChangePending) {
		s.fail("second change: %v", err)
	}
}

func (s *sim) nodeExcept(exclude ...*simNode) *simNode {
	for _, nd := range s.nodes {
		excluded := false
		for _, o := range exclude {
			excluded = excluded || o == nd
		}
		if !excluded {
			return nd
		}
	}
	return nil
}

// verifiedCore returns a core whose disk counts as confirmed, with a log of entries of the
// given terms.
func verifiedCore(t *testing.T, id uint64, disabled disabledMechanisms, terms ...uint64) *Core {
	t.Helper()
	members := []*wire.Member{{Id: 1}, {Id: 2}, {Id: 3}}
	st := StoredState{
		Identity:  &wire.Identity{Id: id, Cluster: "sim", Boot: 1, Nonce: id},
		HardState: &wire.HardState{Term: 3, LeaderTerm: 3},
		Snapshot:  BootstrapSnapshot(members), BaseIndex: BootstrapIndex, BaseTerm: BootstrapTerm,
	}
	for i, term := range terms {
		st.Entries = append(st.Entries, &wire.LogEntry{Term: term, Index: uint64(i) + 2, Data: []byte{byte(term), 0}})
	}
	c, err := New(Config{ID: id, Cluster: "sim", ElectionTimeout: simElection, MaxAppendBytes: 1, disabledMechanisms: disabled}, st, 0)
	if err != nil {
		t.Fatal(err)
	}
	c.verified = true
	return c
}

// collectMessages completes all writes of a core and returns its messages.
func collectMessages(t *testing.T, c *Core) []*wire.RaftMessage {
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

// An entry of an older term that reached a quorum can still be overwritten by a leader
// with a newer last term, so it must not be committed by counting replicas.
func TestRaft_OlderTermEntryOnQuorum(t *testing.T) {
	is := is.New(t)
	commitAfter := func(disabled disabledMechanisms) uint64 {
		c1 := verifiedCore(t, 1, disabled, 2)
		c2 := verifiedCore(t, 2, disabled)
		collectMessages(t, c1)
		is.NoErr(c1.Tick(3 * simElection))
		is.NoErr(c2.Tick(3 * simElection))
		for range 20 {
			for _, m := range collectMessages(t, c1) {
				// Only the entry of the older term reaches replica 2.
				olderTermAcked := m.Type == wire.MsgType_MSG_APP && m.Index >= 2 && c2.log.last() >= 2
				if m.To == 2 && !olderTermAcked {
					is.NoErr(c2.Step(3*simElection, m))
				}
			}
			for _, m := range collectMessages(t, c2) {
				if m.To == 1 {
					is.NoErr(c1.Step(3*simElection, m))
				}
			}
		}
		is.True(c1.IsLeader())
		is.Equal(c1.progress[2].match, uint64(2))
		return c1.commit
	}
	is.Equal(commitAfter(disabledMechanisms{}), uint64(BootstrapIndex))
	is.Equal(commitAfter(disabledMechanisms{currentTermCommit: true}), uint64(2)) // without the mechanism it is committed
}
