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

// Core is the state machine of one scheduler term over its cell. It is not safe for
// concurrent use.
type Core struct {
	opts               Options
	now                Time
	steps              uint64
	started            bool // the first read of the log was handled
	stopped            bool
	spec               *wire.Spec
	upstreams          map[string]*trackedUpstream
	sortedUpstreams    []*trackedUpstream // sorted by id
	earlyAnnouncements []upstream.Announcement
	pendingCommands    map[uint64]*pendingCommand
	lastCommandID      uint64
	startIndex         uint64 // log index at which the term began
	issuedIDs          uint64
	storeTokens        float64 // loads from the weight store that may start
	storeTokensAt      Time
	logReadInFlight    bool
	logReadWanted      bool // read the log once no read is in flight
	nextAudit          Time
	nextLogRead        Time
	committedIndex     uint64         // highest log index of an answered commit
	restarted          bool           // an earlier process issued orders under this fencing number
	startedAt          Time           // time of the first step
	replicaCounts      map[string]int // reservations of each model, without adapters
	countsBeforeStep   map[string]int // replicaCounts before this step of the models that gained reservations in it
	actions            []Action
	violation          *InvariantError
}

// trackedUpstream is the state that the core keeps for one upstream.
type trackedUpstream struct {
	record           *wire.UpstreamRecord
	registered       bool     // the record is in the log
	announced        bool     // announced itself in this term
	sequence         uint64   // sequence number of the last announcement received
	lastFullSequence uint64   // sequence number of the last full announcement received
	maxPerSecond     *float64 // requests a second that it takes; nil: any number
	leaving          bool
	leavingProposed  bool // leaving in the registration proposed last
	leavingInLog     bool // leaving in the registration committed last
	state            upstream.State
	checkpointTiers  map[placement.CheckpointKey]wire.Tier
	reservations     []*reservation       // in the order in which they were made
	orphans          []upstream.HeldModel // reported as held, without an order in the log

	lastSeen            Time
	unreachable         bool // the last probe failed
	consecutiveRefusals int  // probes whose connection was refused, in a row
	suspect             bool
	dirty               bool // grants and invariants must be checked in this step
	dropping            bool // its removal was proposed
	registrationPending bool // a registration was proposed and not yet answered
	nextRegistration    Time
	nextOrphanCheck     Time
	// blockedUntil delays loads of a subject while an unload of it may still arrive.
	blockedUntil map[placement.Subject]Time
	// orphanUnloadID is the id of the orphan unload that awaits a reply; empty if none.
	orphanUnloadID  string
	unloadedOrphans map[string]bool // load order ids of orphans for which an unload was sent

	ordersNotBefore   Time // no order is sent before this time
	confirmed         bool // its state was read at or after ordersNotBefore
	readInFlight      bool
	readRequestedAt   Time // time of the last ReadState
	nextRead          Time
	readWanted        bool
	rereadWanted      bool // another read must follow the one in flight
	readsAnswered     int
	readRequestedStep uint64 // step of the last ReadState
	lastReadStep      uint64 // step of the last ReadState that was answered

	lastGrantUpdate *grant.UpstreamState
}

// phase is the progress of an open order.
type phase int

const (
	phaseNone           phase = iota
	phaseProposed             // proposed, commit not yet answered
	phaseCommitUnknown        // the commit failed with unknown outcome
	phaseQueued               // committed, not yet sent
	phaseSent                 // sent, not yet answered
	phaseAccepted             // the upstream accepted it
	phaseOutcomeUnknown       // sent or recovered from the log; resent unless a read of the state settles it
	phaseOutcomeKnown         // the outcome is known, the settlement is not yet committed
)

// openOrder is an order whose outcome is not yet committed to the log.
type openOrder struct {
	order             *wire.Order
	phase             phase
	committed         bool
	since             Time // start of the phase
	outcome           wire.OrderState
	settlementPending bool // a settlement was proposed and not yet answered
	retryAt           Time
	tier              wire.Tier
	recovered         bool // issued by another process
	copyInFlight      bool // an earlier sending of it may still arrive
	adopted           bool // the upstream already holds the model: nothing is sent
}

// reservation is the memory and the slot that one model or adapter takes on an upstream.
type reservation struct {
	load        *wire.Order // the load order that created the reservation
	open        *openOrder  // the open load or unload; nil once settled as loaded
	loaded      bool        // the load was settled as loaded
	lost        *openOrder  // settlement of a loaded reservation that the upstream no longer holds
	loadedAt    Time        // time at which the load was seen done
	changedStep uint64      // step of the last change
	draining    bool
	idle        bool // nothing ran on it at the last snapshot after the takeover wait
	roomFor     placement.Subject
}

// pendingCommand is a proposed command that neither Committed nor CommitFailed has answered.
type pendingCommand struct {
	reservations []*reservation   // of CommitOrders and SettleOrders
	upstream     *trackedUpstream // of PutUpstream and DropUpstream
	register     bool             // PutUpstream
	drop         bool             // DropUpstream
	settles      bool             // SettleOrders
}

// New returns a core that starts with the first read of the log.
func New(o Options) *Core {
	o = o.withDefaults()
	return &Core{
		opts:             o,
		upstreams:        map[string]*trackedUpstream{},
		pendingCommands:  map[uint64]*pendingCommand{},
		storeTokens:      float64(o.MaxStoreLoads),
		replicaCounts:    map[string]int{},
		countsBeforeStep: map[string]int{},
	}
}

// Step handles one event and returns the resulting actions. The slice is valid until the
// next Step. An error is an *InvariantError: the process must stop. After Stop there are no
// further actions.
func (c *Core) Step(now Time, ev Event) ([]Action, error) {
	c.actions = c.actions[:0]
	if c.stopped || c.violation != nil {
		return nil, c.err()
	}
	if c.now == 0 {
		c.startedAt = now
	}
	c.steps++
	c.now = max(c.now, now)
	clear(c.countsBeforeStep)
	c.handle(ev)
	if c.started && !c.stopped {
		c.advance()
	}
	c.checkInvariants()
	return c.actions, c.err()
}

func (c *Core) err() error {
	if c.violation == nil {
		return nil
	}
	return c.violation
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case LogRead:
		c.handleLogRead(ev)
	case LogReadFailed:
		c.logReadInFlight, c.logReadWanted = false, true
		c.nextLogRead = c.now + c.opts.CommitRetryDelay
	case Announced:
		c.handleAnnouncement(ev.Announcement)
		c.markDirty(ev.Announcement.ID)
	case StateRead:
		c.handleStateRead(ev)
		c.markDirty(ev.Upstream)
	case ReadFailed:
		c.handleReadFailed(ev)
		c.markDirty(ev.Upstream)
	case AnswerCut:
		c.handleAnswerCut(ev.Upstream)
	case Planned:
		c.handlePlan(ev.Plan)
	case Committed:
		c.handleCommitted(ev)
	case CommitFailed:
		c.handleCommitFailed(ev)
	case OrderReplied:
		c.handleReply(ev)
		c.markDirty(ev.Upstream)
	case SendFailed:
		c.handleSendFailed(ev)
		c.markDirty(ev.Upstream)
	case SpecChanged:
		c.updateSpec(ev.Spec)
	case LeaseEnded:
		c.stop("the lease has ended")
	}
}

// markDirty marks an upstream so that its grants and invariants are checked in this step.
func (c *Core) markDirty(id string) {
	if u, ok := c.upstreams[id]; ok {
		u.dirty = true
	}
}

// updateSpec replaces the spec of the applied file unless the new one is older.
func (c *Core) updateSpec(s *wire.Spec) {
	if c.spec.GetIndex() <= s.GetIndex() {
		c.spec = s
	}
}

func (c *Core) stop(reason string) {
	c.stopped = true
	c.emit(Stop{Reason: reason})
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// ensureUpstream returns the upstream with the id and adds it if it is not tracked yet.
func (c *Core) ensureUpstream(id string) *trackedUpstream {
	if u, ok := c.upstreams[id]; ok {
		return u
	}
	u := &trackedUpstream{record: &wire.UpstreamRecord{Id: id}, lastSeen: c.now}
	c.upstreams[id] = u
	i, _ := slices.BinarySearchFunc(c.sortedUpstreams, id, func(u *trackedUpstream, id string) int {
		return cmp.Compare(u.record.GetId(), id)
	})
	c.sortedUpstreams = slices.Insert(c.sortedUpstreams, i, u)
	return u
}

func (c *Core) removeUpstream(u *trackedUpstream) {
	c.removeReservationsIf(u, func(*reservation) bool { return true })
	delete(c.upstreams, u.record.GetId())
	c.sortedUpstreams = slices.DeleteFunc(c.sortedUpstreams, func(other *trackedUpstream) bool { return other == u })
}

// reservedMemory is the memory in MiB that all reservations on the upstream take.
func (u *trackedUpstream) reservedMemory() uint64 {
	var sum uint64
	for _, r := range u.reservations {
		sum += r.load.GetMemoryMib()
	}
	return sum
}

// orphanMemory is the memory in MiB of the orphans on the upstream.
func (u *trackedUpstream) orphanMemory() uint64 {
	var sum uint64
	for _, held := range u.orphans {
		sum += held.MemoryMiB
	}
	return sum
}

func (c *Core) findModel(name string) *wire.Model {
	models := c.spec.GetModels()
	i, ok := slices.BinarySearchFunc(models, name, func(m *wire.Model, name string) int {
		return strings.Compare(m.GetName(), name)
	})
	if !ok {
		return nil
	}
	return models[i]
}
