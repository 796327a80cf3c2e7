package state

import (
	"sync"
	"unicode/utf8"

	"gentiankeel/internal/wire"
)

// maxNameBytes bounds every name, key and identity in a command.
const maxNameBytes = 256

// Options bound the machine's tables. A zero field takes its default.
type Options struct {
	LedgerKeys        int   // live idempotency keys
	LedgerAnswerBytes int64 // bytes of stored answers, over which no new key is begun
	ForgottenKeys     int   // keys past their window that are still refused
	Suspects          int   // body digests that were running when upstreams died
	Upstreams         int
	Leases            int
	AcceptedFiles     int // accepted files whose version and digest are remembered
	RefusedFiles      int
	SpecDeltas        int // accepted files that a delta can start from
	Events            int // decisions and refusals kept for explain
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
)

func (o Options) withDefaults() Options {
	set := func(v *int, preset int) {
		if *v <= 0 {
			*v = preset
		}
	}
	set(&o.LedgerKeys, DefaultLedgerKeys)
	set(&o.ForgottenKeys, DefaultForgottenKeys)
	set(&o.Suspects, DefaultSuspects)
	set(&o.Upstreams, DefaultUpstreams)
	set(&o.Leases, DefaultLeases)
	set(&o.AcceptedFiles, DefaultAcceptedFiles)
	set(&o.RefusedFiles, DefaultRefusedFiles)
	set(&o.SpecDeltas, DefaultSpecDeltas)
	set(&o.Events, DefaultEvents)
	if o.LedgerAnswerBytes <= 0 {
		o.LedgerAnswerBytes = DefaultLedgerAnswerBytes
	}
	return o
}

// switches turn single checks off. Only tests set them, to show that a test fails
// without the check.
type switches struct {
	skipVersionCheck     bool
	skipFenceCheck       bool
	skipMemoryCheck      bool
	skipReplicaCheck     bool
	skipLedgerCheck      bool
	skipIncarnationCheck bool
	skipDeathDedupe      bool
}

// Machine is the replicated state. Options must be equal on every replica of a group.
type Machine struct {
	opts Options
	off  switches

	mu        sync.RWMutex
	index     uint64
	now       int64 // state time, Unix ms; never falls
	files     fileTable
	leases    leaseTable
	upstreams upstreamTable
	ledger    ledgerTable
	suspects  suspectTable
	events    eventRing
	routing   *wire.RoutingRecord // nil before the first one
	touched   touched

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
	m.ledger = newLedgerTable()
	m.suspects = newSuspectTable()
	m.events = newEventRing()
	m.touched = newTouched()
}

// Apply executes one command of the log. It is total: a command that makes no sense is
// answered with RESULT_INVALID and changes nothing but the index. An index that was
// applied before changes nothing at all.
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
	m.advance(cmd)
	r := m.ok()
	for _, c := range batch.Batch.GetCommands() {
		r.Batch = append(r.Batch, m.apply(c))
	}
	return r
}

// apply executes a command that is no batch; a batch inside a batch is invalid.
func (m *Machine) apply(cmd *wire.Command) *wire.Result {
	m.advance(cmd)
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
	case *wire.Command_PutRouting:
		return m.putRouting(op.PutRouting)
	default:
		return m.invalid("the command holds no known operation")
	}
}

// advance moves the state time and forgets what is past it.
func (m *Machine) advance(cmd *wire.Command) {
	m.now = max(m.now, cmd.GetAtUnixMs())
	m.expireKeys()
	m.expireSuspects()
}

func (m *Machine) ok() *wire.Result {
	return &wire.Result{Code: wire.ResultCode_RESULT_OK, Index: m.index}
}

func (m *Machine) invalid(detail string) *wire.Result {
	return &wire.Result{Code: wire.ResultCode_RESULT_INVALID, Detail: detail, Index: m.index}
}

// isName tells whether s can be stored: not empty, bounded, and fit for a snapshot,
// which can't carry invalid UTF-8.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && utf8.ValidString(s)
}

// Index returns the log index applied last.
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
