package state

import (
	"sync"
	"unicode/utf8"

	"gentiankeel/internal/wire"
)

// maxNameBytes bounds each name, key and identity in a command.
const maxNameBytes = 256

// Options bounds the machine's tables. A zero field takes its default.
type Options struct {
	LedgerKeys        int   // live idempotency keys
	LedgerAnswerBytes int64 // bytes of stored answers; no new key is accepted from this size on
	ForgottenKeys     int   // keys past their window that are still refused
	Suspects          int   // bodies that were running when upstreams ended
	Upstreams         int   // registered upstreams; also the bound of the recorded ended ones
	Leases            int
	AcceptedFiles     int // accepted files whose version and digest are kept
	RefusedFiles      int // refused files in the history
	SpecDeltas        int // accepted files that a delta can start from
	Events            int // decisions and refusals kept for Explain
	Departures        int // incarnations of upstreams whose announcement that they leave is kept
}

// Defaults of Options.
const (
	DefaultLedgerKeys        = 200_000
	DefaultLedgerAnswerBytes = 64 << 20
	DefaultForgottenKeys     = 1 << 20
	DefaultSuspects          = 10_000
	DefaultUpstreams         = 20_000
	DefaultLeases            = 4_096
	DefaultAcceptedFiles     = 16_384
	DefaultRefusedFiles      = 1_024
	DefaultSpecDeltas        = 1_024
	DefaultEvents            = 4_096
	DefaultDepartures        = 4_096
)

func (o Options) withDefaults() Options {
	setDefault := func(v *int, value int) {
		if *v <= 0 {
			*v = value
		}
	}
	setDefault(&o.LedgerKeys, DefaultLedgerKeys)
	setDefault(&o.ForgottenKeys, DefaultForgottenKeys)
	setDefault(&o.Suspects, DefaultSuspects)
	setDefault(&o.Upstreams, DefaultUpstreams)
	setDefault(&o.Leases, DefaultLeases)
	setDefault(&o.AcceptedFiles, DefaultAcceptedFiles)
	setDefault(&o.RefusedFiles, DefaultRefusedFiles)
	setDefault(&o.SpecDeltas, DefaultSpecDeltas)
	setDefault(&o.Events, DefaultEvents)
	setDefault(&o.Departures, DefaultDepartures)
	if o.LedgerAnswerBytes <= 0 {
		o.LedgerAnswerBytes = DefaultLedgerAnswerBytes
	}
	return o
}

// disabledChecks disables single checks. Only tests set it, to show that a scenario fails
// without the check.
type disabledChecks struct {
	fileVersion bool
	fence       bool
	memory      bool
	replicas    bool
	ledger      bool
	incarnation bool
	deathDedup  bool
}

// Machine is the replicated state machine. Its Options must be equal on all replicas of a
// group, or their states diverge.
type Machine struct {
	opts     Options
	disabled disabledChecks

	mu         sync.RWMutex
	index      uint64
	now        int64 // state time, Unix ms; never decreases
	files      fileTable
	leases     leaseTable
	upstreams  upstreamTable
	departures departureTable
	holders    []*wire.Holder // by token; replaced, never modified
	software   *wire.SoftwareRecord
	origins    originTable // of streams
	ledger     ledgerTable
	suspects   suspectTable
	events     eventLog
	routing    *wire.RoutingRecord // nil before the first one
	dirty      dirtySet

	parsed parsedFile // of the command being applied; used by the applying goroutine only
}

// New returns an empty machine.
func New(opts Options) *Machine {
	m := &Machine{opts: opts.withDefaults()}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.index, m.now = 0, 0
	m.files = newFileTable()
	m.leases = newLeaseTable()
	m.upstreams = newUpstreamTable()
	m.departures = departureTable{}
	m.holders = nil
	m.software = nil
	m.origins = newOriginTable()
	m.ledger = newLedgerTable()
	m.suspects = newSuspectTable()
	m.events = newEventLog()
	m.dirty = newDirtySet()
}

// Apply executes the command at a log index and returns its result, never nil. A malformed
// command is answered with RESULT_INVALID; it changes only the index and the state time,
// at which ledger keys and suspects may expire. An index that was applied before is also
// answered with RESULT_INVALID and changes nothing.
func (m *Machine) Apply(index uint64, cmd *wire.Command) *wire.Result {
	m.parsed = m.parseAhead(cmd)
	defer func() { m.parsed = parsedFile{} }()
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.index {
		return &wire.Result{Code: wire.ResultCode_RESULT_INVALID, Detail: "the index was applied before", Index: index}
	}
	m.index = index
	batch, ok := cmd.GetOp().(*wire.Command_Batch)
	if !ok {
		return m.apply(cmd)
	}
	m.advanceTime(cmd)
	r := m.okResult()
	for _, c := range batch.Batch.GetCommands() {
		r.Batch = append(r.Batch, m.apply(c))
	}
	return r
}

// apply executes a single command; a batch nested in a batch is invalid.
func (m *Machine) apply(cmd *wire.Command) *wire.Result {
	m.advanceTime(cmd)
	switch op := cmd.GetOp().(type) {
	case *wire.Command_ApplyFile:
		return m.applyFile(op.ApplyFile)
	case *wire.Command_GrantLease:
		return m.grantLease(op.GrantLease)
	case *wire.Command_EndLease:
		return m.endLease(op.EndLease)
	case *wire.Command_CommitOrders:
		return m.commitOrders(op.CommitOrders)
	case *wire.Command_SettleOrders:
		return m.settleOrders(op.SettleOrders)
	case *wire.Command_PutUpstream:
		return m.putUpstream(op.PutUpstream)
	case *wire.Command_DropUpstream:
		return m.dropUpstream(op.DropUpstream)
	case *wire.Command_LedgerBegin:
		return m.ledgerBegin(op.LedgerBegin)
	case *wire.Command_LedgerFinish:
		return m.ledgerFinish(op.LedgerFinish)
	case *wire.Command_LedgerAbandon:
		return m.ledgerAbandon(op.LedgerAbandon)
	case *wire.Command_ReportDeath:
		return m.reportDeath(op.ReportDeath)
	case *wire.Command_RecordDeparture:
		return m.recordDeparture(op.RecordDeparture)
	case *wire.Command_RecordHolder:
		return m.recordHolder(op.RecordHolder)
	case *wire.Command_RecordSoftware:
		return m.recordSoftware(op.RecordSoftware)
	case *wire.Command_RecordOrigins:
		return m.recordOrigins(op.RecordOrigins)
	case *wire.Command_ReportAnswer:
		return m.reportAnswer(op.ReportAnswer)
	case *wire.Command_PutRouting:
		return m.putRouting(op.PutRouting)
	default:
		return m.invalidResult("the command holds no known operation")
	}
}

// advanceTime moves the state time forward and expires ledger keys and suspects. A
// command with an earlier time leaves it where it is.
func (m *Machine) advanceTime(cmd *wire.Command) {
	m.now = max(m.now, cmd.GetAtUnixMs())
	m.expireKeys()
	m.expireSuspects()
}

func (m *Machine) okResult() *wire.Result {
	return &wire.Result{Code: wire.ResultCode_RESULT_OK, Index: m.index}
}

func (m *Machine) invalidResult(detail string) *wire.Result {
	return &wire.Result{Code: wire.ResultCode_RESULT_INVALID, Detail: detail, Index: m.index}
}

// isName reports whether s can be stored as a name: not empty, bounded, and valid UTF-8,
// without which a snapshot can't be encoded.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && utf8.ValidString(s)
}

// Index returns the log index of the last applied command.
func (m *Machine) Index() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// Now returns the state time in Unix ms.
func (m *Machine) Now() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.now
}
