package raft

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

type roleState int

const (
	follower roleState = iota
	preCandidate
	candidate
	leader
)

// Core is the consensus state of one replica. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	id    uint64
	rng   *rand.Rand
	state roleState

	term       uint64
	vote       uint64
	leaderTerm uint64 // term of the last leader, this replica included, whose log was accepted
	leaderID   uint64 // leader of the current term; 0: unknown

	log         raftLog
	confs       []indexedConf // ordered by log index; the last one is in force
	confVersion uint64

	commit      uint64
	knownCommit uint64 // highest commit index seen; may exceed synced
	applied     uint64 // highest index returned by Ready for applying
	synced      uint64 // highest index synced to this replica's disk

	snapshot        *wire.SnapshotMeta // of the newest stored snapshot; nil if none
	pendingSnapshot *wire.Snapshot     // received, not yet stored

	identity           *wire.Identity
	identityDirty      bool
	verified           bool            // peers confirmed that this disk has not been rolled back
	helloConfirmations map[uint64]bool // by confirming voter: whether it belongs to a formed group
	lastHello          monotime
	marks              map[uint64]*wire.PeerMark // newest known state of each peer
	dirtyMarks         map[uint64]bool
	marksNeedSync      bool // a peer has restarted: sync its mark before replying

	hasLeaderContact          bool     // also true after a restart, when the last contact is unknown
	lastLeaderContact         monotime // time of the last leader message, or of the start
	electionTimerStart        monotime
	randomizedElectionTimeout time.Duration
	votes                     map[uint64]bool
	progress                  map[uint64]*progress
	termStartIndex            uint64           // index of the first entry of this leader's term
	round                     uint64           // number of the last heartbeat round
	rounds                    []heartbeatRound // not yet confirmed by a quorum
	heartbeatSent             monotime
	leaseExpiry               monotime
	leaseDisabled             bool // a leadership transfer was started in this term
	transferee                uint64
	timeoutNowSent            bool
	transferDeadline          monotime
	pendingReads              []pendingRead
	readStates                []ReadState
	notifiedCommit            uint64 // highest commit index sent to followers

	messages        []*wire.RaftMessage // may be sent immediately
	afterSync       []*wire.RaftMessage // depend on state that must be synced first
	syncedHardState *wire.HardState
	pendingWrite    *pendingWrite

	lossReason  LossReason // of the last loss of leadership
	lastNow     monotime
	err         error
	previous    watermark    // at the last check of the invariants
	knownLeader leaderOfTerm // last leader seen, for the check of one leader per term
}

type leaderOfTerm struct {
	term uint64
	id   uint64
}

// New returns a core that continues from the state st at time now. A restarted replica
// rejects votes for one election timeout: it can't tell when it last received a leader's
// message, and that leader may hold a lease.
func New(cfg Config, st StoredState, now time.Duration) (*Core, error) {
	cfg.setDefaults()
	c := &Core{
		cfg:                cfg,
		id:                 cfg.ID,
		rng:                rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		identity:           proto.CloneOf(st.Identity),
		helloConfirmations: map[uint64]bool{},
		marks:              map[uint64]*wire.PeerMark{},
		dirtyMarks:         map[uint64]bool{},
		lastNow:            now,
		lastLeaderContact:  now,
	}
	c.hasLeaderContact = c.identity.GetBoot() > 1
	c.restore(st)
	c.resetElectionTimer(now)
	c.lastHello = now - cfg.Heartbeat
	c.verified = c.diskConfirmed() || cfg.disabledMechanisms.identityCheck
	c.sendHellos(now)
	return c, c.checkInvariants()
}

func (c *Core) restore(st StoredState) {
	hardState := st.HardState
	c.term = hardState.GetTerm()
	c.vote = hardState.GetVote()
	c.leaderTerm = hardState.GetLeaderTerm()
	c.log.reset(st.BaseIndex, st.BaseTerm)
	c.confs = []indexedConf{{membership: &wire.Membership{}}}
	if st.Snapshot != nil {
		c.snapshot = st.Snapshot
		c.confs = []indexedConf{{index: st.Snapshot.Index, membership: st.Snapshot.Membership}}
		c.term = max(c.term, st.Snapshot.Term)
	}
	snapIndex := st.Snapshot.GetIndex()
	for _, e := range st.Entries {
		c.log.append(e)
		if e.Type == wire.EntryType_ENTRY_CONF_CHANGE && e.Index > snapIndex {
			c.appendConf(e)
		}
	}
	c.synced = c.log.last()
	c.commit = min(max(hardState.GetCommit(), snapIndex), c.synced)
	c.knownCommit = c.commit
	c.applied = snapIndex
	c.syncedHardState = c.hardState()
	for _, m := range st.Marks {
		c.marks[m.Id] = proto.CloneOf(m)
	}
	c.confVersion = 1
	c.previous = c.watermark()
}

// beginEvent runs before every event. It returns the final error of a stopped core, keeps
// time monotonic and runs the leader's quorum check.
func (c *Core) beginEvent(now monotime) error {
	if c.err != nil {
		return c.err
	}
	c.lastNow = max(c.lastNow, now)
	c.checkQuorum(c.lastNow)
	return nil
}

// Tick advances the time and runs the timers that are due. An error is final.
func (c *Core) Tick(now time.Duration) error {
	if err := c.beginEvent(now); err != nil {
		return err
	}
	now = c.lastNow
	switch {
	case !c.verified:
		c.sendHellos(now)
	case c.state == leader:
		c.tickLeader(now)
	case now-c.electionTimerStart >= c.randomizedElectionTimeout:
		c.campaign(now, false)
	}
	return c.checkInvariants()
}

// Step handles one message. Messages of other clusters or for other replicas are dropped.
// An error is final.
func (c *Core) Step(now time.Duration, m *wire.RaftMessage) error {
	if err := c.beginEvent(now); err != nil {
		return err
	}
	if m.Cluster != c.cfg.Cluster || m.To != c.id || m.From == c.id || m.From == 0 {
		return nil
	}
	c.dispatch(c.lastNow, m)
	return c.checkInvariants()
}

func (c *Core) dispatch(now monotime, m *wire.RaftMessage) {
	newest := c.recordSender(m)
	switch m.Type {
	case wire.MsgType_MSG_HELLO:
		c.onHello(m)
		return
	case wire.MsgType_MSG_HELLO_RESP:
		c.onHelloResp(m)
		return
	}
	// Before peers confirm the disk, it may lack state that this replica acknowledged.
	if !newest || !c.verified || !c.stepTerm(now, m) {
		return
	}
	switch m.Type {
	case wire.MsgType_MSG_PRE_VOTE, wire.MsgType_MSG_VOTE:
		c.onVote(now, m)
	case wire.MsgType_MSG_PRE_VOTE_RESP, wire.MsgType_MSG_VOTE_RESP:
		c.onVoteResp(now, m)
	case wire.MsgType_MSG_APP, wire.MsgType_MSG_HEARTBEAT, wire.MsgType_MSG_SNAP:
		c.onLeaderMessage(now, m)
	case wire.MsgType_MSG_APP_RESP:
		c.onAppendResp(now, m)
	case wire.MsgType_MSG_HEARTBEAT_RESP:
		c.onHeartbeatResp(now, m)
	case wire.MsgType_MSG_TIMEOUT_NOW:
		if c.state != leader && m.From == c.leaderID {
			c.campaign(now, true)
		}
	case wire.MsgType_MSG_READ_INDEX:
		c.onReadIndex(now, m)
	case wire.MsgType_MSG_READ_INDEX_RESP:
		c.onReadIndexResp(m)
	}
}

// stepTerm compares the term of a message with the current term and reports whether the
// message needs further handling.
func (c *Core) stepTerm(now monotime, m *wire.RaftMessage) bool {
	switch {
	case m.Term > c.term:
		return c.stepHigherTerm(now, m)
	case m.Term < c.term:
		c.replyLowerTerm(m)
		return false
	}
	return true
}

func (c *Core) stepHigherTerm(now monotime, m *wire.RaftMessage) bool {
	switch m.Type {
	case wire.MsgType_MSG_PRE_VOTE:
		return true
	case wire.MsgType_MSG_PRE_VOTE_RESP:
		if !m.Reject {
			return true
		}
	case wire.MsgType_MSG_VOTE:
		// The leader may be serving reads under a lease to which this replica contributed.
		if !m.Transfer && c.leaseGranted(now) {
			return false
		}
	}
	leaderID := uint64(0)
	if isFromLeader(m.Type) {
		leaderID = m.From
	}
	if c.state == leader {
		c.lossReason = LossHigherTerm
	}
	c.becomeFollower(now, m.Term, leaderID)
	return true
}

// replyLowerTerm answers a message of an older term so that its sender learns the
// current term.
func (c *Core) replyLowerTerm(m *wire.RaftMessage) {
	switch m.Type {
	case wire.MsgType_MSG_PRE_VOTE:
		c.reply(m, &wire.RaftMessage{Type: wire.MsgType_MSG_PRE_VOTE_RESP, Reject: true})
	case wire.MsgType_MSG_VOTE:
		c.reply(m, &wire.RaftMessage{Type: wire.MsgType_MSG_VOTE_RESP, Reject: true})
	case wire.MsgType_MSG_APP, wire.MsgType_MSG_HEARTBEAT, wire.MsgType_MSG_SNAP:
		c.reply(m, &wire.RaftMessage{Type: wire.MsgType_MSG_HEARTBEAT_RESP})
	}
}

func isFromLeader(t wire.MsgType) bool {
	return t == wire.MsgType_MSG_APP || t == wire.MsgType_MSG_HEARTBEAT || t == wire.MsgType_MSG_SNAP
}

// Propose appends one entry for each element of data and returns the index and term of
// the first. Nothing is appended on ErrNotLeader and ErrTransferring; any other error is
// final.
func (c *Core) Propose(now time.Duration, data [][]byte) (first, term uint64, err error) {
	if err := c.beginEvent(now); err != nil {
		return 0, 0, err
	}
	if c.state != leader {
		return 0, 0, ErrNotLeader
	}
	if c.transferee != 0 {
		return 0, 0, ErrTransferring
	}
	first = c.log.last() + 1
	for _, d := range data {
		c.appendLeaderEntry(wire.EntryType_ENTRY_NORMAL, d)
	}
	c.broadcastAppend(c.lastNow)
	return first, c.term, c.checkInvariants()
}

// appendLeaderEntry appends one entry of the current term and returns its index.
func (c *Core) appendLeaderEntry(t wire.EntryType, data []byte) uint64 {
	e := &wire.LogEntry{Term: c.term, Index: c.log.last() + 1, Type: t, Data: data}
	c.appendEntry(e)
	return e.Index
}

func (c *Core) appendEntry(e *wire.LogEntry) {
	c.log.append(e)
	if e.Type == wire.EntryType_ENTRY_CONF_CHANGE {
		c.appendConf(e)
	}
}

func (c *Core) resetElectionTimer(now monotime) {
	c.electionTimerStart = now
	jitter := c.rng.Int64N(int64(c.cfg.ElectionTimeout))
	c.randomizedElectionTimeout = c.cfg.ElectionTimeout + time.Duration(jitter)
}

func (c *Core) becomeFollower(now monotime, term, leaderID uint64) {
	if term > c.term {
		c.term = term
		c.vote = 0
	}
	c.failReads()
	c.state = follower
	c.leaderID = leaderID
	c.votes = nil
	c.progress = nil
	c.transferee = 0
	c.leaseExpiry = 0
	c.resetElectionTimer(now)
}

// send queues a message. A message that reveals this replica's state, such as a vote or
// an acknowledgement, is sent after that state is synced; a leader's requests may be sent
// while its own disk is still writing.
func (c *Core) send(m *wire.RaftMessage) {
	m.Cluster = c.cfg.Cluster
	m.From = c.id
	m.Boot = c.identity.GetBoot()
	m.Nonce = c.identity.GetNonce()
	if m.Term == 0 {
		m.Term = c.term
	}
	if c.cfg.disabledMechanisms.syncBeforeAck {
		c.messages = append(c.messages, m)
		return
	}
	switch m.Type {
	case wire.MsgType_MSG_APP, wire.MsgType_MSG_HEARTBEAT, wire.MsgType_MSG_SNAP, wire.MsgType_MSG_READ_INDEX:
		c.messages = append(c.messages, m)
	default:
		c.afterSync = append(c.afterSync, m)
	}
}

func (c *Core) reply(to *wire.RaftMessage, m *wire.RaftMessage) {
	m.To = to.From
	c.send(m)
}

// ID returns the id of this replica.
func (c *Core) ID() uint64 { return c.id }

// IsLeader reports whether this replica leads its term.
func (c *Core) IsLeader() bool { return c.state == leader }

// Leader returns the id of the leader of the current term, 0 if unknown.
func (c *Core) Leader() uint64 { return c.leaderID }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Commit returns the commit index.
func (c *Core) Commit() uint64 { return c.commit }

// LastIndex returns the index of the last log entry, synced or not.
func (c *Core) LastIndex() uint64 { return c.log.last() }

// BaseIndex returns the index that precedes the first entry kept in the log.
func (c *Core) BaseIndex() uint64 { return c.log.baseIndex }

// Verified reports whether peers confirmed that this replica's disk is not older than
// the state they have seen from it.
func (c *Core) Verified() bool { return c.verified }

// Membership returns the membership in force and a version that increases with each
// change.
func (c *Core) Membership() (*wire.Membership, uint64) { return c.conf(), c.confVersion }

// LeaseExpiry returns the time at which the leader lease expires, 0 without a lease.
func (c *Core) LeaseExpiry() time.Duration { return c.leaseExpiry }

// Match returns the highest acknowledged, synced index by member, nil on a non-leader.
func (c *Core) Match() map[uint64]uint64 {
	if c.state != leader {
		return nil
	}
	out := make(map[uint64]uint64, len(c.progress)+1)
	out[c.id] = c.synced
	for id, p := range c.progress {
		out[id] = p.match
	}
	return out
}

// Repaired reports whether the group can lose any one voter now without losing committed
// entries or its quorum: no membership change is pending, there are at least the given
// number of voters, and each one has answered within the election timeout and synced up
// to the commit index. It is false unless this replica leads and has committed an entry
// of its term.
func (c *Core) Repaired(now time.Duration, voters int) bool {
	if c.state != leader || !c.committedInCurrentTerm() || c.pendingConfChanges() > 0 {
		return false
	}
	if voterCount(c.conf()) < voters {
		return false
	}
	for _, m := range c.conf().Members {
		if m.Learner || m.Id == c.id {
			continue
		}
		p := c.progress[m.Id]
		if p == nil || p.match < c.commit || now-p.lastAck > c.cfg.ElectionTimeout {
			return false
		}
	}
	return isVoter(c.conf(), c.id)
}

// PeerActive reports whether a peer has answered this leader within the election timeout.
// It is always true for the replica itself, and false for others on a non-leader.
func (c *Core) PeerActive(now time.Duration, id uint64) bool {
	if id == c.id {
		return true
	}
	p := c.progress[id]
	return c.state == leader && p != nil && now-p.lastAck <= c.cfg.ElectionTimeout
}
