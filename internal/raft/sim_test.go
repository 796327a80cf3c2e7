package raft

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

const (
	simElection        = 100 * time.Millisecond
	simHeartbeat       = 15 * time.Millisecond
	simOpTimeout       = 400 * time.Millisecond
	simSnapshotEntries = 15
	simRetainedEntries = 4
	simCheckTimeout    = 2 * time.Second
)

// simDisk is the state that survives a crash.
type simDisk struct {
	stored       StoredState
	snapshotData []byte
}

func (d *simDisk) clone() *simDisk {
	out := *d
	out.stored.Entries = slices.Clone(d.stored.Entries)
	out.stored.Marks = slices.Clone(d.stored.Marks)
	out.stored.Identity = proto.CloneOf(d.stored.Identity)
	return &out
}

func (d *simDisk) save(rd *Ready) {
	if s := rd.Snapshot; s != nil {
		d.stored.Snapshot, d.snapshotData = s.Meta, s.Data
		d.stored.BaseIndex, d.stored.BaseTerm, d.stored.Entries = s.Meta.Index, s.Meta.Term, nil
	}
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - d.stored.BaseIndex - 1
		d.stored.Entries = append(slices.Clone(d.stored.Entries[:keep]), rd.Entries...)
	}
	if rd.HardState != nil {
		d.stored.HardState = rd.HardState
	}
	if rd.Identity != nil {
		d.stored.Identity = rd.Identity
	}
	for _, m := range rd.Marks {
		d.stored.Marks = slices.DeleteFunc(d.stored.Marks, func(o *wire.PeerMark) bool { return o.Id == m.Id })
		d.stored.Marks = append(d.stored.Marks, m)
	}
}

type simNode struct {
	id           uint64
	core         *Core // nil while down
	disk         *simDisk
	pendingWrite *Ready // not yet synced
	writeDue     time.Duration
	frozenUntil  time.Duration
	clockRate    float64 // relative to simulated time
	value        uint64  // value of the replicated register
	applied      uint64
	stopErr      error
	diskLost     bool
	reads        map[uint64]*simOp
}

type simMsg struct {
	m   *wire.RaftMessage
	due time.Duration
}

type simOp struct {
	client    int
	write     bool
	value     uint64
	startedAt time.Duration
	acked     uint64 // highest acknowledged index when the operation started
	node      *simNode
	index     uint64
	term      uint64
	readIndex uint64
}

// sim runs cores on a simulated network and simulated disks, driven by one seed.
type sim struct {
	rng                     *rand.Rand
	now                     time.Duration
	nodes                   []*simNode
	inFlight                []simMsg
	cutLinks                map[[2]uint64]bool
	lossRate, duplicateRate float64
	maxDelay                time.Duration
	slowDisk                bool
	faultsPerThousand       int // probability of a fault in a step, in 1/1000
	disabledMechanisms      disabledMechanisms
	initial                 []*wire.Member

	committed     map[uint64]*wire.LogEntry // by index, across all replicas
	registerAt    map[uint64]uint64         // register value by index
	leaderByTerm  map[uint64]uint64
	acked         uint64 // highest index of an acknowledged write
	ops           []*simOp
	history       []porcupine.Operation
	clients       int
	nextValue     uint64
	nextRead      uint64
	lostID        uint64 // replica whose disk was lost and that is not yet replaced; 0: none
	replacementID uint64 // replica that replaces it
	nextID        uint64
	failure       string
}

func newSim(seed uint64, n int, disabled disabledMechanisms) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), cutLinks: map[[2]uint64]bool{}, maxDelay: 5 * time.Millisecond,
		disabledMechanisms: disabled, committed: map[uint64]*wire.LogEntry{}, registerAt: map[uint64]uint64{BootstrapIndex: 0},
		leaderByTerm: map[uint64]uint64{}, nextID: uint64(n) + 1,
	}
	for i := 1; i <= n; i++ {
		s.initial = append(s.initial, &wire.Member{Id: uint64(i), Name: fmt.Sprint(i)})
	}
	for i := 1; i <= n; i++ {
		nd := s.addNode(uint64(i), true)
		s.boot(nd)
	}
	return s
}

// addNode adds a replica with an empty disk.
func (s *sim) addNode(id uint64, initial bool) *simNode {
	nd := &simNode{id: id, clockRate: 0.91 + 0.18*s.rng.Float64(), disk: s.emptyDisk(id, initial)}
	s.nodes = append(s.nodes, nd)
	return nd
}

func (s *sim) emptyDisk(id uint64, initial bool) *simDisk {
	d := &simDisk{stored: StoredState{
		HardState: &wire.HardState{},
		Identity:  &wire.Identity{Id: id, Cluster: "sim", Bootstrapping: initial},
	}}
	if initial {
		d.stored.Snapshot = BootstrapSnapshot(s.initial)
		d.stored.BaseIndex, d.stored.BaseTerm = BootstrapIndex, BootstrapTerm
	}
	return d
}

func (s *sim) clock(nd *simNode) time.Duration {
	return time.Duration(float64(s.now) * nd.clockRate)
}

func (s *sim) boot(nd *simNode) {
	nd.disk.stored.Identity.Boot++
	nd.disk.stored.Identity.Nonce = s.rng.Uint64()
	nd.pendingWrite, nd.frozenUntil, nd.stopErr = nil, 0, nil
	nd.reads = map[uint64]*simOp{}
	nd.applied, nd.value = 0, 0
	if nd.disk.stored.Snapshot != nil {
		s.restore(nd, nd.disk.stored.Snapshot.Index, nd.disk.snapshotData)
	}
	cfg := Config{
		ID: nd.id, Cluster: "sim", ElectionTimeout: simElection, Heartbeat: simHeartbeat,
		LeaseReads: true, MaxAppendBytes: 24, MaxInflight: 4, MaxLearnerLag: 5, Seed: s.rng.Uint64(), disabledMechanisms: s.disabledMechanisms,
	}
	core, err := New(cfg, nd.disk.clone().stored, s.clock(nd))
	nd.core = core
	s.handleResult(nd, err)
}

func (s *sim) crash(nd *simNode) {
	if nd.pendingWrite != nil && s.rng.IntN(2) == 0 {
		nd.disk.save(nd.pendingWrite)
	}
	nd.core, nd.pendingWrite = nil, nil
	for _, op := range s.ops {
		if op.node == nd {
			op.node = nil
		}
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) node(id uint64) *simNode {
	for _, nd := range s.nodes {
		if nd.id == id {
			return nd
		}
	}
	return nil
}

// handleResult processes the result of an event at a replica and performs the work that is
// ready.
func (s *sim) handleResult(nd *simNode, err error) {
	if nd.core.err == nil { // err, if any, only rejects the call
		s.pump(nd)
		err = nd.core.err
	}
	if err == nil {
		return
	}
	var invariantErr *InvariantError
	if errors.As(err, &invariantErr) {
		s.fail("replica %d: %v", nd.id, err)
	}
	s.crash(nd)
	nd.stopErr = err
}

func (s *sim) pump(nd *simNode) {
	c := nd.core
	for c.HasReady(true) {
		rd := c.Ready(true)
		s.send(nd, rd.Messages)
		for _, e := range rd.Committed {
			s.apply(nd, e)
		}
		for _, r := range rd.Reads {
			s.onRead(nd, r)
		}
		if !c.WritePending() || nd.pendingWrite != nil {
			continue
		}
		if !rd.NeedsSync() {
			s.advance(nd)
			continue
		}
		nd.pendingWrite = &rd
		nd.writeDue = s.now + time.Duration(s.rng.Int64N(int64(3*time.Millisecond)))
		if s.slowDisk {
			nd.writeDue += time.Duration(s.rng.Int64N(int64(simElection)))
		}
	}
	if c.IsLeader() {
		if id, ok := s.leaderByTerm[c.term]; ok && id != nd.id {
			s.fail("term %d has leaders %d and %d", c.term, id, nd.id)
		}
		s.leaderByTerm[c.term] = nd.id
	}
	s.finishReads(nd)
	s.compact(nd)
}

func (s *sim) advance(nd *simNode) {
	msgs, err := nd.core.Advance(s.clock(nd))
	if err == nil {
		s.send(nd, msgs)
	}
}

func (s *sim) completeWrite(nd *simNode) {
	rd := nd.pendingWrite
	nd.pendingWrite = nil
	nd.disk.save(rd)
	if rd.Snapshot != nil {
		s.restore(nd, rd.Snapshot.Meta.Index, rd.Snapshot.Data)
	}
	s.advance(nd)
	s.handleResult(nd, nd.core.err)
}

func (s *sim) send(nd *simNode, msgs []*wire.RaftMessage) {
	for _, m := range msgs {
		if m.Type == wire.MsgType_MSG_SNAP {
			m.Snapshot = &wire.Snapshot{Meta: nd.disk.stored.Snapshot, Data: nd.disk.snapshotData}
		}
		if s.rng.Float64() < s.lossRate {
			continue
		}
		s.enqueue(m)
		if s.rng.Float64() < s.duplicateRate {
			s.enqueue(m)
		}
	}
}

func (s *sim) enqueue(m *wire.RaftMessage) {
	delay := 500*time.Microsecond + time.Duration(s.rng.Int64N(int64(s.maxDelay)))
	if s.lossRate > 0 && s.rng.IntN(100) == 0 {
		delay += time.Duration(s.rng.Int64N(int64(4 * simElection)))
	}
	s.inFlight = append(s.inFlight, simMsg{m: m, due: s.now + delay})
}

func (s *sim) apply(nd *simNode, e *wire.LogEntry) {
	if old := s.committed[e.Index]; old != nil && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		s.fail("entry %d is committed with term %d and with term %d", e.Index, old.Term, e.Term)
	}
	if e.Index != nd.applied+1 {
		s.fail("replica %d applies entry %d after entry %d", nd.id, e.Index, nd.applied)
	}
	s.committed[e.Index] = e
	nd.applied = e.Index
	if e.Type == wire.EntryType_ENTRY_NORMAL {
		nd.value = binary.BigEndian.Uint64(e.Data)
	}
	s.registerAt[e.Index] = nd.value
	for _, op := range s.ops {
		if op.write && op.node == nd && op.index == e.Index {
			if op.term == e.Term {
				s.acked = max(s.acked, e.Index)
				s.recordOp(op, op.value)
			}
			op.node = nil
		}
	}
}

func (s *sim) restore(nd *simNode, index uint64, data []byte) {
	nd.applied, nd.value = index, 0
	if len(data) > 0 {
		nd.value = binary.BigEndian.Uint64(data)
	}
	if v, ok := s.registerAt[index]; !ok || v != nd.value {
		s.fail("snapshot at index %d has register value %d, committed was %d", index, nd.value, v)
	}
}

func (s *sim) compact(nd *simNode) {
	st := &nd.disk.stored
	if nd.core.err != nil || nd.pendingWrite != nil || nd.applied < st.Snapshot.GetIndex()+simSnapshotEntries {
		return
	}
	meta, ok := nd.core.SnapshotMetaAt(nd.applied)
	base := max(nd.applied-simRetainedEntries, nd.core.BaseIndex())
	baseMeta, okBase := nd.core.SnapshotMetaAt(base)
	if !ok || !okBase || base > st.BaseIndex+uint64(len(st.Entries)) {
		return
	}
	st.Entries = slices.Clone(st.Entries[base-st.BaseIndex:])
	st.BaseIndex, st.BaseTerm, st.Snapshot = base, baseMeta.Term, meta
	nd.disk.snapshotData = binary.BigEndian.AppendUint64(nil, nd.value)
	if err := nd.core.Compact(meta, base); err != nil {
		s.fail("compact: %v", err)
	}
}

// run advances the simulated time by d in small random steps.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end && s.failure == ""; {
		s.now += 200*time.Microsecond + time.Duration(s.rng.Int64N(int64(2*time.Millisecond)))
		s.deliver()
		for _, nd := range s.nodes {
			if nd.core == nil || s.now < nd.frozenUntil {
				continue
			}
			if nd.pendingWrite != nil && s.now >= nd.writeDue {
				s.completeWrite(nd)
			}
			if nd.core != nil {
				s.handleResult(nd, nd.core.Tick(s.clock(nd)))
			}
		}
	}
}

func (s *sim) deliver() {
	var rest, due []simMsg
	for _, m := range s.inFlight {
		if m.due <= s.now {
			due = append(due, m)
		} else {
			rest = append(rest, m)
		}
	}
	s.inFlight = rest
	slices.SortStableFunc(due, func(a, b simMsg) int { return int(a.due - b.due) })
	for _, q := range due {
		nd := s.node(q.m.To)
		switch {
		case nd == nil || nd.core == nil || s.cutLinks[[2]uint64{q.m.From, q.m.To}]:
		case s.now < nd.frozenUntil:
			s.inFlight = append(s.inFlight, simMsg{m: q.m, due: nd.frozenUntil})
		default:
			s.handleResult(nd, nd.core.Step(s.clock(nd), proto.CloneOf(q.m)))
		}
	}
}

func (s *sim) isolate(id uint64, cut bool) {
	for _, nd := range s.nodes {
		s.cutLinks[[2]uint64{id, nd.id}] = cut
		s.cutLinks[[2]uint64{nd.id, id}] = cut
	}
}

func (s *sim) leader() *simNode {
	var best *simNode
	for _, nd := range s.nodes {
		if nd.core != nil && nd.core.IsLeader() && (best == nil || nd.core.Term() > best.core.Term()) {
			best = nd
		}
	}
	return best
}

// awaitLeader runs the simulation until a leader has committed an entry of its term.
func (s *sim) awaitLeader() *simNode {
	for range 400 {
		if nd := s.leader(); nd != nil && nd.core.committedInCurrentTerm() {
			return nd
		}
		s.run(simHeartbeat)
	}
	s.fail("no leader was elected")
	return nil
}

// commitWrite commits one write at the leader. It fails the run if no write is
// acknowledged after many attempts.
func (s *sim) commitWrite() {
	for range 100 {
		nd := s.awaitLeader()
		if nd == nil {
			return
		}
		op := s.startWrite(nd)
		if op == nil { // a transfer is in progress
			s.run(simHeartbeat)
		}
		for i := 0; op != nil && op.node != nil && i < 100; i++ {
			s.run(simHeartbeat)
		}
		if s.failure != "" || op != nil && op.index <= s.acked {
			return
		}
	}
	s.fail("no write was acknowledged")
}

func (s *sim) startWrite(nd *simNode) *simOp {
	s.nextValue++
	op := s.newOp(nd)
	op.write, op.value = true, s.nextValue
	first, term, err := nd.core.Propose(s.clock(nd), [][]byte{binary.BigEndian.AppendUint64(nil, op.value)})
	if err != nil {
		return nil
	}
	op.index, op.term = first, term
	s.ops = append(s.ops, op)
	s.handleResult(nd, nil)
	return op
}

func (s *sim) newOp(nd *simNode) *simOp {
	s.clients++
	return &simOp{client: s.clients, startedAt: s.now, node: nd, acked: s.acked}
}

func (s *sim) startRead(nd *simNode) *simOp {
	s.nextRead++
	op := s.newOp(nd)
	nd.reads[s.nextRead] = op
	s.handleResult(nd, nd.core.ReadIndex(s.clock(nd), s.nextRead))
	return op
}

func (s *sim) onRead(nd *simNode, r ReadState) {
	op := nd.reads[r.ID]
	if op == nil {
		return
	}
	if r.Err != nil {
		delete(nd.reads, r.ID)
		return
	}
	op.readIndex = r.Index
	if r.Index < op.acked {
		s.fail("read at index %d misses acknowledged entry %d", r.Index, op.acked)
	}
}

func (s *sim) finishReads(nd *simNode) {
	for id, op := range nd.reads {
		if op.readIndex > 0 && nd.applied >= op.readIndex {
			s.recordOp(op, nd.value)
			delete(nd.reads, id)
		}
	}
}
