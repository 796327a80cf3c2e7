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

// dataDirMode lets only the daemon's user read the state.
const dataDirMode = 0o700

// reconnectBackoff keeps reconnects fast: a cell without its scheduler grants nothing.
var reconnectBackoff = backoff.Config{
	BaseDelay:  50 * time.Millisecond,
	Multiplier: 1.6,
	Jitter:     0.2,
	MaxDelay:   time.Second,
}

func (d *Daemon) startControl(log *slog.Logger) error {
	if !d.set.HasRole(settings.RoleControl) {
		return nil
	}
	c, err := control.New(control.Options{
		NodeID:     d.set.Node.ID,
		Address:    d.set.Node.Address,
		Zone:       d.set.Node.Zone,
		LeaseTTL:   time.Duration(d.set.Control.LeaseTTL),
		Logger:     log,
		Registerer: d.registry,
		Dial:       d.dial,
		OpenLog:    func(sm replica.StateMachine) (control.Log, error) { return d.openLog(sm, log) },
		OnBroken:   d.replicaBroken,
	})
	if err != nil {
		return err
	}
	d.control = c
	c.Register(d.grpc)
	return d.startOperator()
}

// openLog starts this node's replica. A node that is not among the initial members of
// a bootstrap draws a new identity on an empty disk and waits to be added.
func (d *Daemon) openLog(sm replica.StateMachine, log *slog.Logger) (control.Log, error) {
	if err := os.MkdirAll(d.set.Node.DataDir, dataDirMode); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	transport := rafttransport.New(rafttransport.Options{
		Address: d.set.Node.Address, Dial: d.dial, Logger: log, Registerer: d.registry})
	transport.Register(d.grpc)
	name, members, voters := d.set.Node.ID, d.initialMembers(), 0
	if d.set.IsFleet() {
		name, members, voters = d.set.Node.Address, d.seedMembers(), d.set.Control.Voters()
	}
	return replica.Start(replica.Options{
		Name:    name,
		Address: d.set.Node.Address,
		Zone:    d.set.Node.Zone,
		Cluster: d.set.Control.Cluster,
		Dir:     d.set.Node.DataDir,
		Members: members,
		Voters:  voters,
		// A suspended VM's clock stands still, so a lease read could follow an election.
		DisableLeaseReads: d.set.IsFleet(),
		ElectionTimeout:   time.Duration(d.set.Control.ElectionTimeout),
		Heartbeat:         time.Duration(d.set.Control.Heartbeat),
		Machine:           sm,
		Transport:         transport,
		Logger:            log,
		Registerer:        d.registry,
	})
}

func (d *Daemon) initialMembers() []*wire.Member {
	if !d.set.Control.Bootstrap {
		return nil
	}
	var out []*wire.Member
	for _, p := range d.set.Control.Peers {
		out = append(out, &wire.Member{Name: p.ID, Address: p.Address, Zone: p.Zone})
	}
	return out
}

// startOperator opens the operators' listener, apart from the callers' and the nodes'.
func (d *Daemon) startOperator() error {
	if d.set.Operator.Listen == "" {
		return nil
	}
	token, err := netsec.ReadToken(d.set.Operator.TokenFile)
	if err != nil {
		return err
	}
	creds, err := netsec.OperatorCredentials(d.set.TLS)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", d.set.Operator.Listen)
	if err != nil {
		return errors.Wrap(err, "operators' listener")
	}
	d.operator = grpc.NewServer(append(netsec.RequireToken(token),
		grpc.Creds(creds), grpc.MaxRecvMsgSize(control.MaxOperatorBytes))...)
	d.control.Operator().Register(d.operator)
	d.serve(func() {
		if err := d.operator.Serve(ln); err != nil {
			d.fail(errors.Wrap(err, "operators' listener"))
		}
	})
	return nil
}

func (d *Daemon) newScheduler(log *slog.Logger) {
	if !d.set.HasRole(settings.RoleScheduler) {
		return
	}
	set := d.set.Scheduler
	d.scheduler = scheduler.New(scheduler.Options{
		Cell:         set.Cell,
		LeaseName:    control.SchedulerLease(set.Cell),
		Group:        d.group,
		LeaseValid:   func() (uint64, bool) { return d.holder.Valid(control.SchedulerLease(set.Cell)) },
		LeaseTTL:     time.Duration(d.set.Control.LeaseTTL),
		OrderLife:    time.Duration(set.OrderLife),
		SuspectAfter: time.Duration(set.UpstreamSuspect),
		LostAfter:    time.Duration(set.UpstreamLost),
		PlanInterval: time.Duration(set.PlanInterval),
		Grant:        grant.DefaultSettings(),
		Placement:    placement.DefaultSettings(),
		Store: scheduler.StoreLimits{
			LoadsPerSecond:  set.StoreLoadsPerSec,
			Concurrency:     set.StoreConcurrency,
			AdapterInFlight: set.AdapterInFlight,
		},
		Seed:       uint64(time.Now().UnixNano()),
		Logger:     log,
		Registerer: d.registry,
		OnBroken:   d.fail,
	})
	d.scheduler.Register(d.grpc)
}

func (d *Daemon) newHolder(log *slog.Logger) {
	var wants []nodelease.Lease
	if d.scheduler != nil {
		wants = append(wants, nodelease.Lease{
			Name:   control.SchedulerLease(d.set.Scheduler.Cell),
			OnHeld: d.scheduler.LeaseHeld,
			OnLost: d.scheduler.LeaseLost,
		})
	}
	if d.set.HasRole(settings.RoleEntry) {
		wants = append(wants, nodelease.Lease{Name: control.SessionName(d.process)})
	}
	d.holder = nodelease.New(nodelease.Options{
		Node:           d.process,
		Address:        d.set.Node.Address,
		TTL:            time.Duration(d.set.Control.LeaseTTL),
		Group:          d.group,
		Logger:         log,
		OnLeaderAnswer: d.contact,
	}, wants...)
}

func (d *Daemon) startEntry(log *slog.Logger) error {
	if !d.set.HasRole(settings.RoleEntry) {
		return nil
	}
	callers, err := readCallers(d.set.Entry.CallersFile)
	if err != nil {
		return err
	}
	d.session, err = session.New(session.Options{
		EntryID:     d.process,
		Incarnation: uint64(d.begin.UnixNano()),
		SpecIndex:   func() uint64 { return d.follower.Current().Spec.GetIndex() },
		Dial:        func(addr string) (*grpc.ClientConn, error) { return grpc.NewClient(addr, d.dial...) },
		Registerer:  d.registry,
		Logger:      log,
	})
	if err != nil {
		return err
	}
	e, err := entry.New(entry.Options{
		NodeID:       d.process,
		Listen:       d.set.Entry.Listen,
		Scheduler:    d.session,
		Config:       d.follower,
		Ledger:       d.group,
		Callers:      callers,
		MaxBodyBytes: int(d.set.Entry.MaxBody),
		MaxInFlight:  d.set.Entry.MaxRequests,
		BodyTimeout:  time.Duration(d.set.Entry.BodyTimeout),
		DrainSettle:  time.Duration(d.set.Entry.DrainSettle),
		NewID:        func() string { return d.set.Node.ID + "-" + rand.Text() },
		Tracer:       d.tracer,
		Registerer:   d.registry,
		Logger:       log,
	})
	if err != nil {
		return err
	}
	d.entry = e
	return e.Start()
}

// followScheduler tells the session who holds the cell's scheduler lease.
func (d *Daemon) followScheduler() {
	l := d.follower.Current().Lease(control.SchedulerLease(d.set.Entry.Cell))
	d.session.SetScheduler(session.Target{Address: l.GetAddress(), Fence: l.GetFence()})
}

// readCallers reads lines of "token caller"; empty lines and lines with # are skipped.
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
			return nil, errors.Errorf("%s, line %d: write a token and a caller", path, line)
		}
		callers[fields[0]] = fields[1]
	}
	return callers, errors.Wrap(scan.Err(), path)
}
