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
	inboxLen       = 1024
	proposalsLen   = 1024
	commandsLen    = 64
	maxBatch       = 512 // proposals in one append
	maxBatchBytes  = 1 << 20
	maxUncommitted = 4096 // entries after which no proposals are taken in
	ticksPerBeat   = 4
	trailEntries   = 2048 // entries kept behind a snapshot for slow followers
)

// Node is a running replica.
type Node struct {
	opts    Options
	log     *slog.Logger
	metrics *metrics
	start   time.Time
	core    *raft.Core // owned by the loop
	store   Storage

	inbox     chan *wire.RaftMessage
	proposals chan *proposal
	commands  chan func()
	barriers  chan *barrier
	storeJobs chan storeJob
	stored    chan storeResult
	applyJobs chan applyJob
	applied   chan applyResult
	stopping  chan struct{}
	done      chan struct{}
	stopOnce  sync.Once
	wg        sync.WaitGroup

	status atomic.Pointer[Status]
	cause  atomic.Pointer[error]

	// Owned by the loop.
	waiters      map[uint64]*waiter
	reads        readGroups
	applyQueue   []applyJob
	applying     bool
	appliedTo    uint64
	storing      bool // a job is with the storage goroutine
	readyInStore bool // that job is a Ready
	nextWrite    *storeJob
	snapToStore  *wire.Snapshot
	snapshot     *wire.Snapshot // newest stored one
	confVersion  uint64
	wasLeader    bool
	lastTerm     uint64
}

var _ Log = (*Node)(nil)

// Start opens the storage and runs the replica until Stop or a fatal error.
func Start(opts Options) (*Node, error) {
	if err := opts.setDefaults(); err != nil {
		return nil, err
	}
	n, err := open(opts)
	for tries := 0; errors.Is(err, syscall.ENOSPC) && tries < maxStartTries; tries++ {
		opts.Logger.Error("The disk is full; the replica starts when there is room.", "part", "raft", "error", err)
		time.Sleep(startPause)
		n, err = open(opts)
	}
	if err != nil {
		return nil, err
	}
	n.run()
	return n, nil
}

// A replica that starts on a full disk tries for a minute before its process ends.
const (
	startPause    = 250 * time.Millisecond
	maxStartTries = 240
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
		opts:      opts,
		log:       opts.Logger.With("part", "raft"),
		metrics:   newMetrics(opts.Registerer),
		start:     time.Now(),
		store:     store,
		inbox:     make(chan *wire.RaftMessage, inboxLen),
		proposals: make(chan *proposal, proposalsLen),
		commands:  make(chan func(), commandsLen),
		barriers:  make(chan *barrier, proposalsLen),
		storeJobs: make(chan storeJob, 1),
		stored:    make(chan storeResult, 1),
		applyJobs: make(chan applyJob, 1),
		applied:   make(chan applyResult, 1),
		stopping:  make(chan struct{}),
		done:      make(chan struct{}),
		waiters:   map[uint64]*waiter{},
		snapshot:  snap,
		appliedTo: snap.GetMeta().GetIndex(),
	}
	id := restored.Identity
	n.core, err = raft.New(raft.Config{
		ID: id.Id, Cluster: opts.Cluster, Seed: opts.Seed,
		ElectionTimeout: opts.ElectionTimeout, Heartbeat: opts.Heartbeat,
		LeaseReads: !opts.DisableLeaseReads,
	}, restored, 0)
	if err != nil {
		return nil, err
	}
	n.log.Info("Replica starts.", "id", id.Id, "boot", id.Boot, "bootstrapping", id.Bootstrapping,
		"term", n.core.Term(), "last_index", n.core.LastIndex(), "commit", n.core.Commit())
	return n, nil
}

func (n *Node) run() {
	n.publish()
	n.opts.Transport.Start(n.core.ID(), n.receive)
	n.wg.Add(3)
	go n.storeLoop()
	go n.applyLoop()
	go n.loop()
}

// receive takes a message from the transport; it blocks while the replica is behind.
func (n *Node) receive(m *wire.RaftMessage) {
	select {
	case n.inbox <- m:
	case <-n.done:
	}
}

func (n *Node) now() time.Duration { return time.Since(n.start) }

// loop owns the core: it feeds events in and carries out what the core asks for.
func (n *Node) loop() {
	defer n.wg.Done()
	ticker := time.NewTicker(n.opts.Heartbeat / ticksPerBeat)
	defer ticker.Stop()
	err := n.pump()
	for err == nil {
		err = n.event(ticker.C)
		if err == nil {
			err = n.pump()
		}
	}
	n.finish(err)
}

var errStopRequested = errors.New("stop requested")

func (n *Node) event(tick <-chan time.Time) error {
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
	case res := <-n.stored:
		return n.onStored(res)
	case res := <-n.applied:
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

// stepAll takes the waiting messages in, so that their effects share one write.
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

// pump carries out what the core hands out until there is nothing left.
func (n *Node) pump() error {
	for n.core.HasReady(n.wantApply()) {
		rd := n.core.Ready(n.wantApply())
		n.followMembership()
		n.send(rd.Messages)
		n.queueApply(rd.Committed)
		if err := n.onReadStates(rd.Reads); err != nil {
			return err
		}
		if !n.core.Outstanding() || n.nextWrite != nil || n.writing() {
			continue
		}
		if rd.NeedsSync() {
			n.nextWrite = &storeJob{ready: &rd}
			continue
		}
		if err := n.advance(); err != nil {
			return err
		}
	}
	n.startStore()
	n.noteLeadership()
	n.publish()
	return nil
}

func (n *Node) wantApply() bool {
	return !n.applying && len(n.applyQueue) == 0
}

func (n *Node) advance() error {
	msgs, err := n.core.Advance(n.now())
	if err != nil {
		return err
	}
	n.followMembership()
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

// followMembership passes a changed membership on to the transport.
func (n *Node) followMembership() {
	members, version := n.core.Membership()
	if version == n.confVersion {
		return
	}
	n.confVersion = version
	n.opts.Transport.SetPeers(members.Members)
	n.log.Info("Membership is in force.", "members", len(members.Members))
}

// noteLeadership fails the proposals of a lost leadership: another leader decides about
// them.
func (n *Node) noteLeadership() {
	lead, term := n.core.IsLeader(), n.core.Term()
	if n.wasLeader && (!lead || term != n.lastTerm) {
		why := n.core.LastLoss()
		n.log.Warn("Leadership ended.", "reason", string(why), "term", n.lastTerm, "commit", n.core.Commit())
		n.metrics.losses.WithLabelValues(string(why)).Inc()
		n.failWaiters(ErrUnknownOutcome)
	}
	if lead && (!n.wasLeader || term != n.lastTerm) {
		n.log.Info("Leadership begins.", "term", term, "last_index", n.core.LastIndex())
		n.metrics.elections.Inc()
	}
	n.wasLeader = lead
	n.lastTerm = term
}

// finish ends the replica; cause tells why.
func (n *Node) finish(cause error) {
	if !errors.Is(cause, errStopRequested) {
		n.cause.Store(&cause)
		n.metrics.fatal.WithLabelValues(fatalKind(cause)).Inc()
		n.log.Error("Replica stops on an error.", "kind", fatalKind(cause), "error", cause,
			"term", n.core.Term(), "commit", n.core.Commit())
	}
	n.metrics.leading.Set(0)
	close(n.done)
	close(n.storeJobs)
	close(n.applyJobs)
	n.failWaiters(ErrUnknownOutcome)
	n.reads.fail(ErrStopped)
}

// fatalKind names the kind of a fatal error for logs and metrics.
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

// Done is closed when the replica has ended; Err then tells why.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the error that ended the replica, nil while it runs and after Stop.
func (n *Node) Err() error {
	if p := n.cause.Load(); p != nil {
		return *p
	}
	return nil
}

// Stop hands a leadership over where it can, ends the replica and closes its storage.
func (n *Node) Stop() error {
	var err error
	n.stopOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), n.opts.ElectionTimeout)
		n.handOver(ctx)
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

// handOver transfers the leadership and waits until another replica has it.
func (n *Node) handOver(ctx context.Context) {
	if !n.Status().IsLeader || n.TransferLeadership(ctx, 0) != nil {
		return
	}
	poll := time.NewTicker(n.opts.Heartbeat / ticksPerBeat)
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

// Status returns the current view.
func (n *Node) Status() Status { return *n.status.Load() }

func (n *Node) publish() {
	now := n.now()
	members, _ := n.core.Membership()
	s := &Status{
		ID:       n.core.ID(),
		Term:     n.core.Term(),
		Leader:   n.core.Leader(),
		IsLeader: n.core.IsLeader(),
		Commit:   n.core.Commit(),
		Applied:  n.appliedTo,
		Members:  members.Members,
		Match:    n.core.Match(),
		Verified: n.core.Verified(),
	}
	if s.IsLeader {
		s.Repaired = n.core.Repaired(now, n.opts.Voters)
		s.Active = map[uint64]bool{}
		for _, m := range s.Members {
			s.Active[m.Id] = n.core.PeerActive(now, m.Id)
		}
		if till := n.core.LeaseTill(); till > 0 {
			s.LeaseTill = n.start.Add(till)
		}
	}
	n.status.Store(s)
	n.metrics.observe(s)
}
