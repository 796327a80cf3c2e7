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
	leaderTerm uint64 // term of the last leader whose entries were accepted
	lead       uint64 // leader of the term; 0: unknown

	log         raftLog
	confs       []confAt // memberships by log index; the newest is in force
	confVersion uint64

	commit      uint64
	knownCommit uint64 // commit index learnt, possibly beyond the synced log
	applied     uint64 // highest index handed out for applying
	synced      uint64 // highest index that is synced on this replica's disk

	snapshot    *wire.SnapshotMeta // newest stored snapshot
	pendingSnap *wire.Snapshot     // received, not yet stored

	identity      *wire.Identity
	identityDirty bool
	verified      bool // peers confirmed that this disk is not older than what they saw
	helloFrom     map[uint64]bool
	helloSent     monotime
	marks         map[uint64]*wire.PeerMark
	marksDirty    map[uint64]bool
	saveMarks     bool // a new start of a peer was seen: sync before answering

	heardLeader    bool
	heard          monotime // last contact with a leader, or the start
	timerStart     monotime
	electionAfter  time.Duration
	votes          map[uint64]bool
	progress       map[uint64]*progress
	ownTermIndex   uint64 // first entry of this leader's term
	round          uint64
	rounds         []heartbeatRound
	heartbeatSent  monotime
	leaseTill      monotime
	noLease        bool // a leadership transfer was begun in this term
	transferee     uint64
	transferSent   bool
	transferTill   monotime
	reads          []pendingRead
	readStates     []ReadState
	commitNotified uint64

	messages    []*wire.RaftMessage // may leave at once
	afterSync   []*wire.RaftMessage // must wait for the sync of the state they speak of
	savedHard   *wire.HardState
	outstanding *outstanding

	loss     LossReason // why it last ceased to lead
	lastNow  monotime
	err      error
	prev     watermark
	seenLead leaderOfTerm
}

type leaderOfTerm struct {
	term uint64
	id   uint64
}

// New returns a core that continues from a restored state. A replica that starts again
// refuses votes for one election timeout, since it forgot when it last heard a leader.
func New(cfg Config, st Restored, now time.Duration) (*Core, error) {
	cfg.setDefaults()
	c := &Core{
		cfg:        cfg,
		id:         cfg.ID,
		rng:        rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		identity:   proto.CloneOf(st.Identity),
		helloFrom:  map[uint64]bool{},
		marks:      map[uint64]*wire.PeerMark{},
		marksDirty: map[uint64]bool{},
		lastNow:    now,
		heard:      now,
	}
	c.heardLeader = c.identity.GetBoot() > 1
	c.restore(st)
	c.resetTimer(now)
	c.helloSent = now - cfg.Heartbeat
	c.verified = c.helloEnough() || cfg.faults.noIdentityCheck
	c.sayHello(now)
	return c, c.check()
}

func (c *Core) restore(st Restored) {
	hs := st.HardState
	c.term = hs.GetTerm()
	c.vote = hs.GetVote()
	c.leaderTerm = hs.GetLeaderTerm()
	c.log.reset(st.BaseIndex, st.BaseTerm)
	c.confs = []confAt{{members: &wire.Membership{}}}
	if st.Snapshot != nil {
		c.snapshot = st.Snapshot
		c.confs = []confAt{{index: st.Snapshot.Index, members: st.Snapshot.Membership}}
		c.term = max(c.term, st.Snapshot.Term)
	}
	snapIndex := st.Snapshot.GetIndex()
	for _, e := range st.Entries {
		c.log.append(e)
		if e.Type == wire.EntryType_ENTRY_CONF_CHANGE && e.Index > snapIndex {
			c.enterConf(e)
		}
	}
	c.synced = c.log.last()
	c.commit = min(max(hs.GetCommit(), snapIndex), c.synced)
	c.knownCommit = c.commit
	c.applied = snapIndex
	c.savedHard = c.hardState()
	for _, m := range st.Marks {
		c.marks[m.Id] = proto.CloneOf(m)
	}
	c.confVersion = 1
	c.prev = c.watermark()
}

// enter runs before every event: it refuses a stopped core and keeps time monotonic.
func (c *Core) enter(now monotime) error {
	if c.err != nil {
		return c.err
	}
	c.lastNow = max(c.lastNow, now)
	c.checkQuorum(c.lastNow)
	return nil
}

// Tick lets time pass. An error is final.
func (c *Core) Tick(now time.Duration) error {
	if err := c.enter(now); err != nil {
		return err
	}
	now = c.lastNow
	switch {
	case !c.verified:
		c.sayHello(now)
	case c.state == leader:
		c.tickLeader(now)
	case now-c.timerStart >= c.electionAfter:
		c.campaign(now, false)
	}
	return c.check()
}

// Step takes one message in. An error is final; refused messages are none.
func (c *Core) Step(now time.Duration, m *wire.RaftMessage) error {
	if err := c.enter(now); err != nil {
		return err
	}
	if m.Cluster != c.cfg.Cluster || m.To != c.id || m.From == c.id || m.From == 0 {
		return nil
	}
	c.step(c.lastNow, m)
	return c.check()
}

func (c *Core) step(now monotime, m *wire.RaftMessage) {
	newest := c.noteSender(m)
	switch m.Type {
	case wire.MsgType_MSG_HELLO:
		c.onHello(m)
		return
	case wire.MsgType_MSG_HELLO_RESP:
		c.onHelloResp(m)
		return
	}
	// An unconfirmed disk may be older than what this replica acknowledged.
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
		if c.state != leader && m.From == c.lead {
			c.campaign(now, true)
		}
	case wire.MsgType_MSG_READ_INDEX:
		c.onReadIndex(now, m)
	case wire.MsgType_MSG_READ_INDEX_RESP:
		c.onReadIndexResp(m)
	}
}

// stepTerm compares the message's term with the own one and reports whether the
// message is to be handled further.
func (c *Core) stepTerm(now monotime, m *wire.RaftMessage) bool {
	switch {
	case m.Term > c.term:
		return c.stepHigherTerm(now, m)
	case m.Term < c.term:
		c.answerLowerTerm(m)
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
		// The leader may be serving reads under a lease that this replica granted.
		if !m.Transfer && c.leaseGranted(now) {
			return false
		}
	}
	lead := uint64(0)
	if isFromLeader(m.Type) {
		lead = m.From
	}
	if c.state == leader {
		c.loss = LossHigherTerm
	}
	c.becomeFollower(now, m.Term, lead)
	return true
}

// answerLowerTerm tells a sender of an older term about the current one.
func (c *Core) answerLowerTerm(m *wire.RaftMessage) {
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

// Propose appends entries and returns the position of the first. Errors: ErrNotLeader
// and ErrTransferring (nothing was appended), or a final one.
func (c *Core) Propose(now time.Duration, data [][]byte) (first, term uint64, err error) {
	if err := c.enter(now); err != nil {
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
		c.appendOwn(wire.EntryType_ENTRY_NORMAL, d)
	}
	c.broadcastAppend(c.lastNow)
	return first, c.term, c.check()
}

// appendOwn appends one entry of this leader's term and returns its index.
func (c *Core) appendOwn(t wire.EntryType, data []byte) uint64 {
	e := &wire.LogEntry{Term: c.term, Index: c.log.last() + 1, Type: t, Data: data}
	c.appendEntry(e)
	return e.Index
}

func (c *Core) appendEntry(e *wire.LogEntry) {
	c.log.append(e)
	if e.Type == wire.EntryType_ENTRY_CONF_CHANGE {
		c.enterConf(e)
	}
}

func (c *Core) resetTimer(now monotime) {
	c.timerStart = now
	spread := c.rng.Int64N(int64(c.cfg.ElectionTimeout))
	c.electionAfter = c.cfg.ElectionTimeout + time.Duration(spread)
}

func (c *Core) becomeFollower(now monotime, term, lead uint64) {
	if term > c.term {
		c.term = term
		c.vote = 0
	}
	c.failReads()
	c.state = follower
	c.lead = lead
	c.votes = nil
	c.progress = nil
	c.transferee = 0
	c.leaseTill = 0
	c.resetTimer(now)
}

// send queues a message. After the sync goes whatever speaks of this replica's own
// state; a leader's requests may leave while its own disk is still writing.
func (c *Core) send(m *wire.RaftMessage) {
	m.Cluster = c.cfg.Cluster
	m.From = c.id
	m.Boot = c.identity.GetBoot()
	m.Nonce = c.identity.GetNonce()
	if m.Term == 0 {
		m.Term = c.term
	}
	if c.cfg.faults.noSyncBeforeAck {
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

// ID returns the replica's identity.
func (c *Core) ID() uint64 { return c.id }

// IsLeader reports whether this replica leads its term.
func (c *Core) IsLeader() bool { return c.state == leader }

// Leader returns the leader of the current term, 0 where it is unknown.
func (c *Core) Leader() uint64 { return c.lead }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Commit returns the commit index.
func (c *Core) Commit() uint64 { return c.commit }

// LastIndex returns the index of the last entry, synced or not.
func (c *Core) LastIndex() uint64 { return c.log.last() }

// BaseIndex returns the index before the first entry that the log still holds.
func (c *Core) BaseIndex() uint64 { return c.log.baseIndex }

// Verified reports whether peers confirmed that this replica's disk is not older than
// what they have seen of it.
func (c *Core) Verified() bool { return c.verified }

// Membership returns the membership in force and a version that grows with each change.
func (c *Core) Membership() (*wire.Membership, uint64) { return c.conf(), c.confVersion }

// LeaseTill returns the end of the leader lease, 0 without one.
func (c *Core) LeaseTill() time.Duration { return c.leaseTill }

// Match returns the synced index of each member; nil unless this replica leads.
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

// Repaired reports whether the loss of any one more voter at this moment would lose
// nothing and leave a quorum: no open membership change, at least voters voters, each
// heard within the election timeout and synced up to the commit index. False unless
// this replica leads with an entry of its own term committed.
func (c *Core) Repaired(now time.Duration, voters int) bool {
	if c.state != leader || !c.ownTermCommitted() || c.openConfChanges() > 0 {
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

// PeerActive reports whether this leader has heard from a peer within the election
// timeout.
func (c *Core) PeerActive(now time.Duration, id uint64) bool {
	if id == c.id {
		return true
	}
	p := c.progress[id]
	return c.state == leader && p != nil && now-p.lastAck <= c.cfg.ElectionTimeout
}
