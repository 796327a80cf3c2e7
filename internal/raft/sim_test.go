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
	simElection   = 100 * time.Millisecond
	simHeartbeat  = 15 * time.Millisecond
	simOpLimit    = 400 * time.Millisecond
	simCompact    = 15
	simTrail      = 4
	simCheckLimit = 2 * time.Second
)

// simDisk is what survives a crash.
type simDisk struct {
	st   Restored
	data []byte // of the snapshot
}

func (d *simDisk) clone() *simDisk {
	out := *d
	out.st.Entries = slices.Clone(d.st.Entries)
	out.st.Marks = slices.Clone(d.st.Marks)
	out.st.Identity = proto.CloneOf(d.st.Identity)
	return &out
}

func (d *simDisk) save(rd *Ready) {
	if s := rd.Snapshot; s != nil {
		d.st.Snapshot, d.data = s.Meta, s.Data
		d.st.BaseIndex, d.st.BaseTerm, d.st.Entries = s.Meta.Index, s.Meta.Term, nil
	}
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - d.st.BaseIndex - 1
		d.st.Entries = append(slices.Clone(d.st.Entries[:keep]), rd.Entries...)
	}
	if rd.HardState != nil {
		d.st.HardState = rd.HardState
	}
	if rd.Identity != nil {
		d.st.Identity = rd.Identity
	}
	for _, m := range rd.Marks {
		d.st.Marks = slices.DeleteFunc(d.st.Marks, func(o *wire.PeerMark) bool { return o.Id == m.Id })
		d.st.Marks = append(d.st.Marks, m)
	}
}

type simNode struct {
	id       uint64
	core     *Core // nil while down
	disk     *simDisk
	write    *Ready // handed to the disk, not synced
	writeDue time.Duration
	frozen   time.Duration // until
	rate     float64       // of its clock
	value    uint64        // the register
	applied  uint64
	stopped  error
	emptied  bool // its disk was lost
	reads    map[uint64]*simOp
}

type simMsg struct {
	m   *wire.RaftMessage
	due time.Duration
}

type simOp struct {
	client  int
	write   bool
	value   uint64
	call    time.Duration
	acked   uint64 // highest acknowledged index at the call
	node    *simNode
	index   uint64
	term    uint64
	readIdx uint64
}

// sim runs cores over a fake network and fake disks, driven by one seed.
type sim struct {
	rng       *rand.Rand
	now       time.Duration
	nodes     []*simNode
	net       []simMsg
	cut       map[[2]uint64]bool
	loss, dup float64
	maxDelay  time.Duration
	slowDisk  bool
	busy      int // faults in 1000 steps
	faults    faults
	initial   []*wire.Member

	committed map[uint64]*wire.LogEntry // by index, over all replicas
	values    map[uint64]uint64         // register after index
	leaders   map[uint64]uint64         // by term
	acked     uint64
	ops       []*simOp
	history   []porcupine.Operation
	clients   int
	nextValue uint64
	nextRead  uint64
	lost      uint64 // identity whose disk is gone and not yet replaced
	spare     uint64 // identity that takes its place
	nextID    uint64
	failure   string
}

func newSim(seed uint64, n int, f faults) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]uint64]bool{}, maxDelay: 5 * time.Millisecond,
		faults: f, committed: map[uint64]*wire.LogEntry{}, values: map[uint64]uint64{BootstrapIndex: 0},
		leaders: map[uint64]uint64{}, nextID: uint64(n) + 1,
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

// addNode makes a replica with an empty disk.
func (s *sim) addNode(id uint64, initial bool) *simNode {
	nd := &simNode{id: id, rate: 0.91 + 0.18*s.rng.Float64(), disk: s.emptyDisk(id, initial)}
	s.nodes = append(s.nodes, nd)
	return nd
}

func (s *sim) emptyDisk(id uint64, initial bool) *simDisk {
	d := &simDisk{st: Restored{
		HardState: &wire.HardState{},
		Identity:  &wire.Identity{Id: id, Cluster: "sim", Bootstrapping: initial},
	}}
	if initial {
		d.st.Snapshot = BootstrapSnapshot(s.initial)
		d.st.BaseIndex, d.st.BaseTerm = BootstrapIndex, BootstrapTerm
	}
	return d
}

func (s *sim) clock(nd *simNode) time.Duration {
	return time.Duration(float64(s.now) * nd.rate)
}

func (s *sim) boot(nd *simNode) {
	nd.disk.st.Identity.Boot++
	nd.disk.st.Identity.Nonce = s.rng.Uint64()
	nd.write, nd.frozen, nd.stopped = nil, 0, nil
	nd.reads = map[uint64]*simOp{}
	nd.applied, nd.value = 0, 0
	if nd.disk.st.Snapshot != nil {
		s.restore(nd, nd.disk.st.Snapshot.Index, nd.disk.data)
	}
	cfg := Config{
		ID: nd.id, Cluster: "sim", ElectionTimeout: simElection, Heartbeat: simHeartbeat,
		LeaseReads: true, MaxAppendBytes: 24, MaxInflight: 4, CatchUpLag: 5, Seed: s.rng.Uint64(), faults: s.faults,
	}
	core, err := New(cfg, nd.disk.clone().st, s.clock(nd))
	nd.core = core
	s.after(nd, err)
}

func (s *sim) crash(nd *simNode) {
	if nd.write != nil && s.rng.IntN(2) == 0 {
		nd.disk.save(nd.write)
	}
	nd.core, nd.write = nil, nil
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

// after handles the result of an event at a replica and carries out what it asks for.
func (s *sim) after(nd *simNode, err error) {
	if nd.core.err == nil { // otherwise err only refused the call
		s.pump(nd)
		err = nd.core.err
	}
	if err == nil {
		return
	}
	var broken *InvariantError
	if errors.As(err, &broken) {
		s.fail("replica %d: %v", nd.id, err)
	}
	s.crash(nd)
	nd.stopped = err
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
		if !c.Outstanding() || nd.write != nil {
			continue
		}
		if !rd.NeedsSync() {
			s.advance(nd)
			continue
		}
		nd.write = &rd
		nd.writeDue = s.now + time.Duration(s.rng.Int64N(int64(3*time.Millisecond)))
		if s.slowDisk {
			nd.writeDue += time.Duration(s.rng.Int64N(int64(simElection)))
		}
	}
	if c.IsLeader() {
		if id, ok := s.leaders[c.term]; ok && id != nd.id {
			s.fail("term %d has leaders %d and %d", c.term, id, nd.id)
		}
		s.leaders[c.term] = nd.id
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

func (s *sim) sync(nd *simNode) {
	rd := nd.write
	nd.write = nil
	nd.disk.save(rd)
	if rd.Snapshot != nil {
		s.restore(nd, rd.Snapshot.Meta.Index, rd.Snapshot.Data)
	}
	s.advance(nd)
	s.after(nd, nd.core.err)
}

func (s *sim) send(nd *simNode, msgs []*wire.RaftMessage) {
	for _, m := range msgs {
		if m.Type == wire.MsgType_MSG_SNAP {
			m.Snapshot = &wire.Snapshot{Meta: nd.disk.st.Snapshot, Data: nd.disk.data}
		}
		if s.rng.Float64() < s.loss {
			continue
		}
		s.post(m)
		if s.rng.Float64() < s.dup {
			s.post(m)
		}
	}
}

func (s *sim) post(m *wire.RaftMessage) {
	delay := 500*time.Microsecond + time.Duration(s.rng.Int64N(int64(s.maxDelay)))
	if s.loss > 0 && s.rng.IntN(100) == 0 {
		delay += time.Duration(s.rng.Int64N(int64(4 * simElection)))
	}
	s.net = append(s.net, simMsg{m: m, due: s.now + delay})
}

func (s *sim) apply(nd *simNode, e *wire.LogEntry) {
	if old := s.committed[e.Index]; old != nil && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		s.fail("entry %d is committed as term %d and term %d", e.Index, old.Term, e.Term)
	}
	if e.Index != nd.applied+1 {
		s.fail("replica %d applies %d after %d", nd.id, e.Index, nd.applied)
	}
	s.committed[e.Index] = e
	nd.applied = e.Index
	if e.Type == wire.EntryType_ENTRY_NORMAL {
		nd.value = binary.BigEndian.Uint64(e.Data)
	}
	s.values[e.Index] = nd.value
	for _, op := range s.ops {
		if op.write && op.node == nd && op.index == e.Index {
			if op.term == e.Term {
				s.acked = max(s.acked, e.Index)
				s.done(op, op.value)
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
	if v, ok := s.values[index]; !ok || v != nd.value {
		s.fail("snapshot at %d holds %d, committed was %d", index, nd.value, v)
	}
}

func (s *sim) compact(nd *simNode) {
	st := &nd.disk.st
	if nd.core.err != nil || nd.write != nil || nd.applied < st.Snapshot.GetIndex()+simCompact {
		return
	}
	meta, ok := nd.core.MetaAt(nd.applied)
	base := max(nd.applied-simTrail, nd.core.BaseIndex())
	at, okBase := nd.core.MetaAt(base)
	if !ok || !okBase || base > st.BaseIndex+uint64(len(st.Entries)) {
		return
	}
	st.Entries = slices.Clone(st.Entries[base-st.BaseIndex:])
	st.BaseIndex, st.BaseTerm, st.Snapshot = base, at.Term, meta
	nd.disk.data = binary.BigEndian.AppendUint64(nil, nd.value)
	if err := nd.core.Compacted(meta, base); err != nil {
		s.fail("compact: %v", err)
	}
}

// run lets time pass in small steps.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end && s.failure == ""; {
		s.now += 200*time.Microsecond + time.Duration(s.rng.Int64N(int64(2*time.Millisecond)))
		s.deliver()
		for _, nd := range s.nodes {
			if nd.core == nil || s.now < nd.frozen {
				continue
			}
			if nd.write != nil && s.now >= nd.writeDue {
				s.sync(nd)
			}
			if nd.core != nil {
				s.after(nd, nd.core.Tick(s.clock(nd)))
			}
		}
	}
}

func (s *sim) deliver() {
	var rest, due []simMsg
	for _, m := range s.net {
		if m.due <= s.now {
			due = append(due, m)
		} else {
			rest = append(rest, m)
		}
	}
	s.net = rest
	slices.SortStableFunc(due, func(a, b simMsg) int { return int(a.due - b.due) })
	for _, q := range due {
		nd := s.node(q.m.To)
		switch {
		case nd == nil || nd.core == nil || s.cut[[2]uint64{q.m.From, q.m.To}]:
		case s.now < nd.frozen:
			s.net = append(s.net, simMsg{m: q.m, due: nd.frozen})
		default:
			s.after(nd, nd.core.Step(s.clock(nd), proto.CloneOf(q.m)))
		}
	}
}

func (s *sim) isolate(id uint64, cut bool) {
	for _, nd := range s.nodes {
		s.cut[[2]uint64{id, nd.id}] = cut
		s.cut[[2]uint64{nd.id, id}] = cut
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

// awaitLeader runs until a leader has committed an entry of its term.
func (s *sim) awaitLeader() *simNode {
	for range 400 {
		if nd := s.leader(); nd != nil && nd.core.ownTermCommitted() {
			return nd
		}
		s.run(simHeartbeat)
	}
	s.fail("no leader")
	return nil
}

// put commits one write at the leader and fails the run where that takes too long.
func (s *sim) put() {
	for range 100 {
		nd := s.awaitLeader()
		if nd == nil {
			return
		}
		op := s.startWrite(nd)
		if op == nil { // a transfer is open
			s.run(simHeartbeat)
		}
		for i := 0; op != nil && op.node != nil && i < 100; i++ {
			s.run(simHeartbeat)
		}
		if s.failure != "" || op != nil && op.index <= s.acked {
			return
		}
	}
	s.fail("no write is acknowledged")
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
	s.after(nd, nil)
	return op
}

func (s *sim) newOp(nd *simNode) *simOp {
	s.clients++
	return &simOp{client: s.clients, call: s.now, node: nd, acked: s.acked}
}

func (s *sim) startRead(nd *simNode) *simOp {
	s.nextRead++
	op := s.newOp(nd)
	nd.reads[s.nextRead] = op
	s.after(nd, nd.core.ReadIndex(s.clock(nd), s.nextRead))
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
	op.readIdx = r.Index
	if r.Index < op.acked {
		s.fail("read at %d misses acknowledged entry %d", r.Index, op.acked)
	}
}

func (s *sim) finishReads(nd *simNode) {
	for id, op := range nd.reads {
		if op.readIdx > 0 && nd.applied >= op.readIdx {
			s.done(op, nd.value)
			delete(nd.reads, id)
		}
	}
}
