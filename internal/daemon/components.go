package daemon

import (
	"bufio"
	"crypto/rand"
	"log/slog"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"gentiankeel/internal/control"
	"gentiankeel/internal/entry"
	"gentiankeel/internal/grant"
	"gentiankeel/internal/netsec"
	"gentiankeel/internal/nodelease"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/rafttransport"
	"gentiankeel/internal/replica"
	"gentiankeel/internal/scheduler"
	"gentiankeel/internal/session"
	"gentiankeel/internal/settings"
	"gentiankeel/internal/wire"
)

// dataDirMode restricts the stored state to the daemon's user.
const dataDirMode = 0o700

// reconnectBackoff keeps the delay between reconnects short, since a cell whose scheduler
// is unreachable grants no slots.
var reconnectBackoff = backoff.Config{
	BaseDelay:  50 * time.Millisecond,
	Multiplier: 1.6,
	Jitter:     0.2,
	MaxDelay:   time.Second,
}

// startControl starts the control replica and the operators' listener; it does nothing
// without the role.
func (d *Daemon) startControl(log *slog.Logger) error {
	if !d.cfg.HasRole(settings.RoleControl) {
		return nil
	}
	c, err := control.New(control.Options{
		NodeID:      d.cfg.Node.ID,
		Address:     d.cfg.Node.Address,
		Zone:        d.cfg.Node.Zone,
		LeaseTTL:    time.Duration(d.cfg.Control.LeaseTTL),
		Logger:      log,
		Registerer:  d.registry,
		Dial:        d.dialOpts,
		OpenReplica: func(sm replica.StateMachine) (control.Replica, error) { return d.startReplica(sm, log) },
		OnFatal:     d.handleReplicaFailure,
	})
	if err != nil {
		return err
	}
	d.control = c
	c.Register(d.nodeGRPC)
	return d.startOperator()
}

// startReplica starts this node's Raft replica with sm as its state machine. On an empty
// disk, a node that is not an initial member of a bootstrap creates a new identity and
// waits until it is added to the group.
func (d *Daemon) startReplica(sm replica.StateMachine, log *slog.Logger) (control.Replica, error) {
	if err := os.MkdirAll(d.cfg.Node.DataDir, dataDirMode); err != nil {
		return nil, errors.Wrap(err, "creating the data folder")
	}
	transport := rafttransport.New(rafttransport.Options{
		Address: d.cfg.Node.Address, Dial: d.dialOpts, Logger: log, Registerer: d.registry})
	transport.Register(d.nodeGRPC)
	name, members, voters := d.cfg.Node.ID, d.membersFromPeers(), 0
	if d.cfg.HasRoutingRole() {
		name, members, voters = d.cfg.Node.Address, d.membersFromSeeds(), d.cfg.Control.Voters()
	}
	return replica.Start(replica.Options{
		Name:    name,
		Address: d.cfg.Node.Address,
		Zone:    d.cfg.Node.Zone,
		Cluster: d.cfg.Control.Cluster,
		Dir:     d.cfg.Node.DataDir,
		Members: members,
		Voters:  voters,
		// The clock of a suspended VM stands still, so a leader could serve lease reads after
		// another one was elected.
		DisableLeaseReads: d.cfg.HasRoutingRole(),
		ElectionTimeout:   time.Duration(d.cfg.Control.ElectionTimeout),
		Heartbeat:         time.Duration(d.cfg.Control.Heartbeat),
		Machine:           sm,
		Transport:         transport,
		Logger:            log,
		Registerer:        d.registry,
	})
}

// membersFromPeers returns the initial voters of a bootstrap, nil on other starts.
func (d *Daemon) membersFromPeers() []*wire.Member {
	if !d.cfg.Control.Bootstrap {
		return nil
	}
	var out []*wire.Member
	for _, p := range d.cfg.Control.Peers {
		out = append(out, &wire.Member{Name: p.ID, Address: p.Address, Zone: p.Zone})
	}
	return out
}

// startOperator opens the operators' listener, which is separate from those of callers and
// nodes. It does nothing without an address.
func (d *Daemon) startOperator() error {
	if d.cfg.Operator.Listen == "" {
		return nil
	}
	token, err := netsec.ReadToken(d.cfg.Operator.TokenFile)
	if err != nil {
		return err
	}
	creds, err := netsec.OperatorCredentials(d.cfg.TLS)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", d.cfg.Operator.Listen)
	if err != nil {
		return errors.Wrap(err, "operators' listener")
	}
	d.operatorGRPC = grpc.NewServer(append(netsec.RequireToken(token),
		grpc.Creds(creds), grpc.MaxRecvMsgSize(control.MaxOperatorMessageBytes))...)
	d.control.Operator().Register(d.operatorGRPC)
	d.goServe(func() {
		if err := d.operatorGRPC.Serve(ln); err != nil {
			d.fail(errors.Wrap(err, "operators' listener"))
		}
	})
	return nil
}

// newScheduler creates the scheduler and registers it with the nodes' listener; it does
// nothing without the role.
func (d *Daemon) newScheduler(log *slog.Logger) {
	if !d.cfg.HasRole(settings.RoleScheduler) {
		return
	}
	cfg := d.cfg.Scheduler
	d.scheduler = scheduler.New(scheduler.Options{
		Cell:         cfg.Cell,
		LeaseName:    control.SchedulerLeaseName(cfg.Cell),
		Group:        d.group,
		LeaseValid:   func() (uint64, bool) { return d.leaseHolder.Valid(control.SchedulerLeaseName(cfg.Cell)) },
		LeaseTTL:     time.Duration(d.cfg.Control.LeaseTTL),
		OrderLife:    time.Duration(cfg.OrderLife),
		SuspectAfter: time.Duration(cfg.UpstreamSuspectAfter),
		LostAfter:    time.Duration(cfg.UpstreamLostAfter),
		PlanInterval: time.Duration(cfg.PlanInterval),
		Grant:        grant.DefaultSettings(),
		Placement:    placement.DefaultSettings(),
		Store: scheduler.StoreLimits{
			LoadsPerSecond:  cfg.StoreLoadsPerSecond,
			Concurrency:     cfg.StoreConcurrency,
			AdapterInFlight: cfg.AdapterInFlight,
		},
		Seed:       uint64(time.Now().UnixNano()),
		Logger:     log,
		Registerer: d.registry,
		OnFatal:    d.fail,
	})
	d.scheduler.Register(d.nodeGRPC)
}

// newLeaseHolder creates the holder of the leases that the node's roles need: the cell's
// scheduler lease and the entry's session.
func (d *Daemon) newLeaseHolder(log *slog.Logger) {
	var leases []nodelease.Lease
	if d.scheduler != nil {
		leases = append(leases, nodelease.Lease{
			Name:   control.SchedulerLeaseName(d.cfg.Scheduler.Cell),
			OnHeld: d.scheduler.LeaseHeld,
			OnLost: d.scheduler.LeaseLost,
		})
	}
	if d.cfg.HasRole(settings.RoleEntry) {
		leases = append(leases, nodelease.Lease{Name: control.SessionLeaseName(d.processID)})
	}
	d.leaseHolder = nodelease.New(nodelease.Options{
		Node:           d.processID,
		Address:        d.cfg.Node.Address,
		TTL:            time.Duration(d.cfg.Control.LeaseTTL),
		Group:          d.group,
		Logger:         log,
		OnLeaderAnswer: d.renewConfigLease,
	}, leases...)
}

// startEntry starts the callers' listener and the session with the scheduler; it does
// nothing without the role.
func (d *Daemon) startEntry(log *slog.Logger) error {
	if !d.cfg.HasRole(settings.RoleEntry) {
		return nil
	}
	callers, err := readCallers(d.cfg.Entry.CallersFile)
	if err != nil {
		return err
	}
	d.session, err = session.New(session.Options{
		EntryID:     d.processID,
		Incarnation: uint64(d.startTime.UnixNano()),
		SpecIndex:   func() uint64 { return d.follower.Current().Spec.GetIndex() },
		Dial:        func(addr string) (*grpc.ClientConn, error) { return grpc.NewClient(addr, d.dialOpts...) },
		Registerer:  d.registry,
		Logger:      log,
	})
	if err != nil {
		return err
	}
	e, err := entry.New(entry.Options{
		NodeID:         d.processID,
		Listen:         d.cfg.Entry.Listen,
		Scheduler:      d.session,
		Config:         d.follower,
		Ledger:         d.group,
		Callers:        callers,
		MaxBodyBytes:   int(d.cfg.Entry.MaxBodyBytes),
		MaxInFlight:    d.cfg.Entry.MaxRequests,
		BodyTimeout:    time.Duration(d.cfg.Entry.BodyTimeout),
		DrainSettle:    time.Duration(d.cfg.Entry.DrainSettle),
		NewID:          func() string { return d.cfg.Node.ID + "-" + rand.Text() },
		TracerProvider: d.tracerProvider,
		Registerer:     d.registry,
		Logger:         log,
	})
	if err != nil {
		return err
	}
	d.entry = e
	return e.Start()
}

// updateSchedulerTarget points the session at the current holder of the cell's scheduler
// lease.
func (d *Daemon) updateSchedulerTarget() {
	l := d.follower.Current().Lease(control.SchedulerLeaseName(d.cfg.Entry.Cell))
	d.session.SetScheduler(session.Target{Address: l.GetAddress(), Fence: l.GetFence()})
}

// readCallers reads a file of lines "token caller" into a map from token to caller. Empty
// lines and lines that begin with # are skipped. An empty path yields nil.
func readCallers(path string) (map[string]string, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "entry.callers_file")
	}
	defer f.Close()
	callers := map[string]string{}
	scan := bufio.NewScanner(f)
	for line := 1; scan.Scan(); line++ {
		fields := strings.Fields(scan.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 {
			return nil, errors.Errorf("%s, line %d: expected a token and a caller", path, line)
		}
		callers[fields[0]] = fields[1]
	}
	return callers, errors.Wrap(scan.Err(), path)
}
