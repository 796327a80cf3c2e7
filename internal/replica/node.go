package replica

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/wire"
)

const (
	inboxLen          = 1024
	proposalsLen      = 1024
	commandsLen       = 64
	maxBatchProposals = 512 // in one append
	maxBatchBytes     = 1 << 20
	maxUncommitted    = 4096 // entries; beyond them proposals stay in the queue
	ticksPerHeartbeat = 4
	retainedEntries   = 2048 // kept before a snapshot's index, for lagging followers
)

// Node is a running replica. It implements Log and is safe for concurrent use.
type Node struct {
	opts    Options
	log     *slog.Logger
	metrics *metrics
	start   time.Time
	core    *raft.Core // used only by loop
	store   Storage

	inbox        chan *wire.RaftMessage
	proposals    chan *proposal
	commands     chan func()
	barriers     chan *barrier
	storeJobs    chan storeJob
	storeResults chan storeResult
	applyJobs    chan applyJob
	applyResults chan applyResult
	stopping     chan struct{}
	done         chan struct{}
	stopOnce     sync.Once
	wg           sync.WaitGroup

	status   atomic.Pointer[Status]
	fatalErr atomic.Pointer[error]

	// Used only by loop.
	waiters         map[uint64]*waiter
	reads           readGroups
	applyQueue      []applyJob
	applying        bool
	appliedIndex    uint64
	storageBusy     bool // storeLoop is running a job
	writingReady    bool // storeLoop is writing a Ready
	pendingWrite    *storeJob
	pendingSnapshot *wire.Snapshot
	// nextSnapshotWrite is the earliest time of the next write of a snapshot; 0 unless the last one found
	// no room.
	nextSnapshotWrite time.Duration
	snapshot          *wire.Snapshot // newest stored snapshot
	confVersion       uint64
	wasLeader         bool
	lastTerm          uint64
}

var _ Log = (*Node)(nil)

// Start opens the storage and starts the replica, which runs until Stop or a fatal error.
// While the disk is full, it retries for one minute.
func Start(opts Options) (*Node, error) {
	if err := opts.setDefaults(); err != nil {
		return nil, err
	}
	n, err := open(opts)
	for retries := 0; errors.Is(err, syscall.ENOSPC) && retries < maxStartRetries; retries++ {
		opts.Logger.Error("Disk is full; retrying to start the replica.", "part", "raft", "error", err)
		time.Sleep(startRetryInterval)
		n, err = open(opts)
	}
	if err != nil {
		return nil, err
	}
	n.run()
	return n, nil
}

// Retries of a start on a full disk, one minute in total.
const (
	startRetryInterval = 250 * time.Millisecond
	maxStartRetries    = 240
)

func open(opts Options) (*Node, error) {
	store, err := openStorage(&opts)
	if err != nil {
		return nil, err
	}
	n, err := newNode(opts, store)
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	return n, nil
}

func newNode(opts Options, store Storage) (*Node, error) {
	restored, snap, err := openIdentity(&opts, store)
	if err != nil {
		return nil, err
	}
	if snap != nil && snap.Meta.Index > raft.BootstrapIndex {
		if err := opts.Machine.Restore(snap.Meta.Index, snap.Data); err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
	}
	n := &Node{
		opts:         opts,
		log:          opts.Logger.With("part", "raft"),
		metrics:      newMetrics(opts.Registerer),
		start:        time.Now(),
		store:        store,
		inbox:        make(chan *wire.RaftMessage, inboxLen),
		proposals:    make(chan *proposal, proposalsLen),
		commands:     make(chan func(), commandsLen),
		barriers:     make(chan *barrier, proposalsLen),
		storeJobs:    make(chan storeJob, 1),
		storeResults: make(chan storeResult, 1),
		applyJobs:    make(chan applyJob, 1),
		applyResults: make(chan applyResult, 1),
		stopping:     make(chan struct{}),
		done:         make(chan struct{}),
		waiters:      map[uint64]*waiter{},
		snapshot:     snap,
		appliedIndex: snap.GetMeta().GetIndex(),
	}
	id := restored.Identity
	var termData []byte
	if m, ok := opts.Machine.(TermStarter); ok {
		termData = m.TermData()
	}
	n.core, err = raft.New(raft.Config{
		ID: id.Id, Cluster: opts.Cluster, Seed: opts.Seed,
		ElectionTimeout: opts.ElectionTimeout, Heartbeat: opts.Heartbeat,
		LeaseReads: !opts.DisableLeaseReads, TermData: termData,
	}, restored, 0)
	if err != nil {
		return nil, err
	}
	n.log.Info("Starting replica.", "id", id.Id, "boot", id.Boot, "bootstrapping", id.Bootstrapping,
		"term", n.core.Term(), "last_index", n.core.LastIndex(), "commit", n.core.Commit())
	return n, nil
}

func (n *Node) run() {
	n.publishStatus()
	n.opts.Transport.Start(n.core.ID(), n.receive)
	n.wg.Add(3)
	go n.storeLoop()
	go n.applyLoop()
	go n.loop()
}

// receive queues a message from the transport. It blocks while the inbox is full.
func (n *Node) receive(m *wire.RaftMessage) {
	select {
	case n.inbox <- m:
	case <-n.done:
	}
}

func (n *Node) now() time.Duration { return time.Since(n.start) }

// loop is the only goroutine that uses the core. It passes events to the core and performs
// the resulting work until a stop or a fatal error.
func (n *Node) loop() {
	defer n.wg.Done()
	ticker := time.NewTicker(n.opts.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	err := n.pump()
	for err == nil {
		err = n.handleEvent(ticker.C)
		if err == nil {
			err = n.pump()
		}
	}
	n.shutDown(err)
}

var errStopRequested = errors.New("stop requested")

func (n *Node) handleEvent(tick <-chan time.Time) error {
	proposals := n.proposals
	if n.core.LastIndex()-n.core.Commit() > maxUncommitted {
		proposals = nil
	}
	applyJobs := n.applyJobs
	var job applyJob
	if n.applying || len(n.applyQueue) == 0 {
		applyJobs = nil
	} else {
		job = n.applyQueue[0]
	}
	select {
	case <-n.stopping:
		return errStopRequested
	case m := <-n.inbox:
		return n.stepAll(m)
	case p := <-proposals:
		return n.propose(p)
	case fn := <-n.commands:
		fn()
		return nil
	case b := <-n.barriers:
		return n.addBarrier(b)
	case res := <-n.storeResults:
		return n.onStored(res)
	case res := <-n.applyResults:
		return n.onApplied(res)
	case applyJobs <- job:
		n.applying = true
		n.applyQueue = n.applyQueue[1:]
		return nil
	case <-tick:
		n.reads.expire(n.now())
		return n.core.Tick(n.now())
	}
}

// stepAll handles m and the other messages in the inbox together, so that their effects
// share one write.
func (n *Node) stepAll(m *wire.RaftMessage) error {
	for range inboxLen {
		if err := n.core.Step(n.now(), m); err != nil {
			return err
		}
		select {
		case m = <-n.inbox:
		default:
			return nil
		}
	}
	return nil
}

// pump performs the core's ready work until there is none left.
func (n *Node) pump() error {
	for n.core.HasReady(n.canApply()) {
		rd := n.core.Ready(n.canApply())
		n.updatePeers()
		n.send(rd.Messages)
		n.queueApply(rd.Committed)
		if err := n.onReadStates(rd.Reads); err != nil {
			return err
		}
		if !n.core.WritePending() || n.pendingWrite != nil || n.isWritingReady() {
			continue
		}
		if rd.NeedsSync() {
			n.pendingWrite = &storeJob{ready: &rd}
			continue
		}
		if err := n.advance(); err != nil {
			return err
		}
	}
	n.startNextWrite()
	n.trackLeadership()
	n.publishStatus()
	return nil
}

func (n *Node) canApply() bool {
	return !n.applying && len(n.applyQueue) == 0
}

func (n *Node) advance() error {
	msgs, err := n.core.Advance(n.now())
	if err != nil {
		return err
	}
	n.updatePeers()
	n.send(msgs)
	return nil
}

func (n *Node) send(msgs []*wire.RaftMessage) {
	if len(msgs) == 0 {
		return
	}
	for _, m := range msgs {
		if m.Type == wire.MsgType_MSG_SNAP {
			m.Snapshot = n.snapshot
		}
	}
	n.opts.Transport.Send(msgs)
}

// updatePeers passes a changed membership to the transport.
func (n *Node) updatePeers() {
	members, version := n.core.Membership()
	if version == n.confVersion {
		return
	}
	n.confVersion = version
	n.opts.Transport.SetPeers(members.Members)
	n.log.Info("Membership changed.", "members", len(members.Members))
}

// trackLeadership logs and counts changes of leadership. On a loss it fails the pending
// proposals with an unknown outcome, since the next leader decides whether they commit.
func (n *Node) trackLeadership() {
	isLeader, term := n.core.IsLeader(), n.core.Term()
	if n.wasLeader && (!isLeader || term != n.lastTerm) {
		reason := n.core.LastLossReason()
		n.log.Warn("Leadership ended.", "reason", string(reason), "term", n.lastTerm, "commit", n.core.Commit())
		n.metrics.losses.WithLabelValues(string(reason)).Inc()
		n.failWaiters(ErrUnknownOutcome)
	}
	if isLeader && (!n.wasLeader || term != n.lastTerm) {
		n.log.Info("Leadership started.", "term", term, "last_index", n.core.LastIndex())
		n.metrics.elections.Inc()
	}
	n.wasLeader = isLeader
	n.lastTerm = term
}

// shutDown ends the loop and fails all pending calls. Unless a stop was requested, cause
// is recorded as the fatal error.
func (n *Node) shutDown(cause error) {
	if !errors.Is(cause, errStopRequested) {
		n.fatalErr.Store(&cause)
		n.metrics.fatal.WithLabelValues(fatalKind(cause)).Inc()
		n.log.Error("Replica stopped on a fatal error.", "kind", fatalKind(cause), "error", cause,
			"term", n.core.Term(), "commit", n.core.Commit())
	}
	n.metrics.leading.Set(0)
	close(n.done)
	close(n.storeJobs)
	close(n.applyJobs)
	n.failWaiters(ErrUnknownOutcome)
	n.reads.failAll(ErrStopped)
}

// fatalKind returns the kind of a fatal error, used as a log value and metric label.
func fatalKind(err error) string {
	var invariant *raft.InvariantError
	var rolledBack *raft.RolledBackError
	var bootstrap *raft.BootstrapRefusedError
	var removed *raft.RemovedError
	switch {
	case errors.As(err, &invariant):
		return "invariant-" + invariant.Name
	case errors.As(err, &rolledBack):
		return "disk-rolled-back"
	case errors.As(err, &bootstrap):
		return "bootstrap-refused"
	case errors.As(err, &removed):
		return "removed"
	case errors.Is(err, errStorage):
		return "storage"
	}
	return "other"
}

// Done returns a channel that is closed when the replica has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the fatal error that stopped the replica, or nil if there was none.
func (n *Node) Err() error {
	if p := n.fatalErr.Load(); p != nil {
		return *p
	}
	return nil
}

// Stop transfers the leadership if this replica holds it, which it waits for at most one
// election timeout. Then it stops the replica and closes its transport and storage. Later
// calls do nothing and return nil.
func (n *Node) Stop() error {
	var err error
	n.stopOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), n.opts.ElectionTimeout)
		n.transferAndWait(ctx)
		cancel()
		close(n.stopping)
		n.wg.Wait()
		err = n.opts.Transport.Close()
		if cerr := n.store.Close(); err == nil {
			err = cerr
		}
	})
	return err
}

// transferAndWait starts a leadership transfer and waits until this replica no longer
// leads or ctx is done.
func (n *Node) transferAndWait(ctx context.Context) {
	if !n.Status().IsLeader || n.TransferLeadership(ctx, 0) != nil {
		return
	}
	poll := time.NewTicker(n.opts.Heartbeat / ticksPerHeartbeat)
	defer poll.Stop()
	for n.Status().IsLeader {
		select {
		case <-ctx.Done():
			return
		case <-n.done:
			return
		case <-poll.C:
		}
	}
}

// Status returns the state as of the last event. The maps and slices must not be modified.
func (n *Node) Status() Status { return *n.status.Load() }

// publishStatus stores the current state for Status and updates the metrics.
func (n *Node) publishStatus() {
	now := n.now()
	members, _ := n.core.Membership()
	s := &Status{
		ID:       n.core.ID(),
		Term:     n.core.Term(),
		Leader:   n.core.Leader(),
		IsLeader: n.core.IsLeader(),
		Commit:   n.core.Commit(),
		Applied:  n.appliedIndex,
		Members:  members.Members,
		Removed:  n.core.Removed(),
		Match:    n.core.Match(),
		Verified: n.core.Verified(),
	}
	if s.IsLeader {
		s.Repaired = n.core.Repaired(now, n.opts.Voters)
		s.Active = map[uint64]bool{}
		for _, m := range s.Members {
			s.Active[m.Id] = n.core.PeerActive(now, m.Id)
		}
		if expiry := n.core.LeaseExpiry(); expiry > 0 {
			s.LeaseExpiry = n.start.Add(expiry)
		}
	}
	n.status.Store(s)
	n.metrics.observe(s)
}
