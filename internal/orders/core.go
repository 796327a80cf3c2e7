package orders

import (
	"cmp"
	"slices"
	"strings"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// Core is the state of one scheduler's term over its cell. It is not safe for
// concurrent use.
type Core struct {
	o           Options
	now         Time
	steps       uint64
	started     bool // the log has been read
	stopped     bool
	spec        *wire.Spec
	upstreams   map[string]*node
	order       []*node // sorted by id
	early       []upstream.Announcement
	batches     map[uint64]*batch
	batch       uint64
	base        uint64 // log index at which the term began
	ids         uint64
	tokens      float64 // loads from the weight store that may start
	tokensAt    Time
	reading     bool // a ReadLog is out
	readWant    bool // the log shall be read when no reading is out
	nextAudit   Time
	readLogNext Time
	logIndex    uint64         // highest index that a commit was answered with
	restarted   bool           // an earlier process decided under this fencing number
	startAt     Time           // of the first step
	counts      map[string]int // holds of each model, without adapters
	grown       map[string]int // counts before this step of the models that have gained holds
	actions     []Action
	broken      *InvariantError
}

// node is one upstream and what it holds.
type node struct {
	rec        *wire.UpstreamRecord
	registered bool // the record is in the log
	announced  bool // heard of in this term
	sequence   uint64
	full       uint64 // sequence number of the last full announcement that is known
	leaving    bool
	state      upstream.State
	tiers      map[placement.CheckpointKey]wire.Tier
	holds      []*hold // in order of decision
	strays     []upstream.Held

	lastSeen  Time
	unreached bool // the last probe failed
	refused   int  // probes refused in a row
	suspect   bool
	dirty     bool // something that grants or invariants depend on has changed
	dropping  bool
	putOut    bool // a registration's commit is out
	putNext   Time
	strayNext Time
	// blocked holds off loads of what an unload that is still on its way could hit.
	blocked map[placement.Subject]Time
	// strayOrder is the unload of a stray whose sending is out.
	strayOrder string
	unloaded   map[string]bool // order ids of strays that an unload was sent for

	actFrom   Time // no order before
	confirmed bool // its state was read after actFrom
	reading   bool
	readAt    Time // when the reading that is out was asked for
	readNext  Time
	readWant  bool
	doubted   bool   // doubted while a reading was out
	reads     int    // readings answered
	readStep  uint64 // step in which the reading that is out was asked for
	lastRead  uint64 // step in which the last answered reading was asked for

	granted *grant.UpstreamState // last update given
}

// phase is where an open order stands.
type phase int

const (
	phaseNone     phase = iota
	phaseProposed       // its commit is out
	phaseGhost          // its commit failed with unknown outcome
	phaseQueued         // committed, to be sent
	phaseSent           // its sending is out
	phaseAccepted       // the upstream took it
	phaseUnsure         // it may have reached the upstream
	phaseKnown          // the outcome is known, its settlement is not yet committed
)

// open is one order whose outcome is not yet in the log.
type open struct {
	o         *wire.Order
	phase     phase
	inLog     bool
	since     Time // of the phase
	outcome   wire.OrderState
	settled   bool // a settlement is out
	retryAt   Time
	tier      wire.Tier
	recovered bool // decided by another process
	doubtful  bool // a copy of it may still be on its way
	adopted   bool // the upstream holds it already: nothing is sent
}

// hold is one model or adapter that holds memory and a slot on an upstream.
type hold struct {
	load     *wire.Order // the load that made it
	open     *open       // its open load or unload; nil when settled as loaded
	loaded   bool        // it serves, or served until its unload was decided
	lost     *open       // settlement of a loaded hold that the upstream no longer has
	since    Time        // when it was loaded
	changed  uint64      // step in which the core last learnt of a change
	draining bool
	idle     bool // nothing ran on it at the last snapshot after the takeover
	roomFor  placement.Subject
}

// batch is a command whose commit is out.
type batch struct {
	holds  []*hold // of CommitOrders and SettleOrders
	n      *node
	put    bool
	drop   bool
	settle bool
}

// New returns a core that waits for Recovered.
func New(o Options) *Core {
	o = o.withDefaults()
	return &Core{
		o:         o,
		upstreams: map[string]*node{},
		batches:   map[uint64]*batch{},
		tokens:    float64(o.StoreMax),
		counts:    map[string]int{},
		grown:     map[string]int{},
	}
}

// Step takes one event in and returns the actions that follow. The slice is valid until
// the next Step. An error is a broken invariant: the process must stop.
func (c *Core) Step(now Time, ev Event) ([]Action, error) {
	c.actions = c.actions[:0]
	if c.stopped || c.broken != nil {
		return nil, c.err()
	}
	if c.now == 0 {
		c.startAt = now
	}
	c.steps++
	c.now = max(c.now, now)
	clear(c.grown)
	c.handle(ev)
	if c.started && !c.stopped {
		c.advance()
	}
	c.checkInvariants()
	return c.actions, c.err()
}

func (c *Core) err() error {
	if c.broken == nil {
		return nil
	}
	return c.broken
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case Recovered:
		c.recovered(ev)
	case ReadLogFailed:
		c.reading, c.readWant = false, true
		c.readLogNext = c.now + c.o.CommitRetry
	case Announced:
		c.announced(ev.Announcement)
		c.touch(ev.Announcement.ID)
	case StateRead:
		c.stateRead(ev)
		c.touch(ev.Upstream)
	case ReadFailed:
		c.readFailed(ev)
		c.touch(ev.Upstream)
	case Doubted:
		c.doubted(ev.Upstream)
	case Planned:
		c.planned(ev.Plan)
	case Committed:
		c.committed(ev)
	case CommitFailed:
		c.commitFailed(ev)
	case Replied:
		c.replied(ev)
		c.touch(ev.Upstream)
	case SendFailed:
		c.sendFailed(ev)
		c.touch(ev.Upstream)
	case SpecChanged:
		c.specChanged(ev.Spec)
	case LeaseEnded:
		c.stop("the lease has ended")
	}
}

// touch marks an upstream whose grants and invariants are to be looked at in this step.
func (c *Core) touch(id string) {
	if n, ok := c.upstreams[id]; ok {
		n.dirty = true
	}
}

func (c *Core) specChanged(s *wire.Spec) {
	if c.spec.GetIndex() <= s.GetIndex() {
		c.spec = s
	}
}

func (c *Core) stop(why string) {
	c.stopped = true
	c.act(Stop{Why: why})
}

func (c *Core) act(a Action) { c.actions = append(c.actions, a) }

// node returns an upstream, new or known.
func (c *Core) node(id string) *node {
	if n, ok := c.upstreams[id]; ok {
		return n
	}
	n := &node{rec: &wire.UpstreamRecord{Id: id}, lastSeen: c.now}
	c.upstreams[id] = n
	i, _ := slices.BinarySearchFunc(c.order, id, func(n *node, id string) int {
		return cmp.Compare(n.rec.GetId(), id)
	})
	c.order = slices.Insert(c.order, i, n)
	return n
}

func (c *Core) forget(n *node) {
	c.dropHolds(n, func(*hold) bool { return true })
	delete(c.upstreams, n.rec.GetId())
	c.order = slices.DeleteFunc(c.order, func(o *node) bool { return o == n })
}

// memory is what the cell's decisions have committed of the upstream's memory, in MiB.
func (n *node) memory() uint64 {
	var sum uint64
	for _, h := range n.holds {
		sum += h.load.GetMemoryMib()
	}
	return sum
}

// strayMemory is the memory, in MiB, of what the upstream holds without a decision.
func (n *node) strayMemory() uint64 {
	var sum uint64
	for _, h := range n.strays {
		sum += h.MemoryMiB
	}
	return sum
}

func (c *Core) model(name string) *wire.Model {
	models := c.spec.GetModels()
	i, ok := slices.BinarySearchFunc(models, name, func(m *wire.Model, name string) int {
		return strings.Compare(m.GetName(), name)
	})
	if !ok {
		return nil
	}
	return models[i]
}
