// Package daemon assembles the roles of one process from its settings.
package daemon

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"gentiankeel/internal/control"
	"gentiankeel/internal/coordinator"
	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/entry"
	"gentiankeel/internal/gateway"
	"gentiankeel/internal/httpserver"
	"gentiankeel/internal/netsec"
	"gentiankeel/internal/nodelease"
	"gentiankeel/internal/rafttransport"
	"gentiankeel/internal/scheduler"
	"gentiankeel/internal/session"
	"gentiankeel/internal/settings"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/telemetry"
	"gentiankeel/internal/view"
	"gentiankeel/internal/wire"
)

const (
	// reportInterval is the time between two reports of this node to the leader.
	reportInterval = 2 * time.Second
	// keepaliveTime is the silence after which a connection between nodes is probed; a
	// frozen or cut peer is given up after keepaliveTimeout more.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// connectTimeout bounds the making of one connection between nodes.
	connectTimeout = time.Second
)

// heapPercent is the share of the process's memory at which the collector works harder;
// the rest is for stacks, connections and what the collector can't bound.
const heapPercent = 60

// Daemon is one running process.
type Daemon struct {
	set      *settings.Settings
	log      *slog.Logger
	begin    time.Time
	process  string // node id and incarnation
	registry *prometheus.Registry
	tracer   trace.TracerProvider
	flush    func(context.Context) error
	server   credentials.TransportCredentials
	dial     []grpc.DialOption

	grpc      *grpc.Server
	operator  *grpc.Server
	http      *http.Server
	control   *control.Server
	group     *ctlclient.Client
	follower  *view.Follower
	holder    *nodelease.Holder
	scheduler *scheduler.Server
	session   *session.Client
	entry     *entry.Server

	dialects    Dialects
	coordinator *coordinator.Server
	gateway     *gateway.Server
	fleetHTTP   *httpserver.Server // upstreams and operators
	path        string             // of the settings file
	reload      <-chan os.Signal

	broken  chan error
	drained chan struct{}
	once    sync.Once
	cancel  context.CancelFunc
	duties  sync.WaitGroup // end with cancel
	serving sync.WaitGroup // end when their listeners close
}

// Options set a process up.
type Options struct {
	Settings *settings.Settings
	Path     string // the file that the settings were read from; empty: none is followed
	Logger   *slog.Logger
	Dialects Dialects         // for the roles gateway and coordinator
	Reload   <-chan os.Signal // asks for a look at the settings file; may be nil
}

// Run starts the daemon and blocks until ctx ends or a part breaks; then it shuts down
// gracefully. It returns nil after a graceful shutdown.
func Run(ctx context.Context, o Options) error {
	set, log := o.Settings, o.Logger
	if mb := set.Node.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * heapPercent / 100)
	}
	begin := time.Now()
	d := &Daemon{
		set:      set,
		log:      log.With("part", "daemon"),
		begin:    begin,
		process:  set.Node.ID + "/" + strconv.FormatInt(begin.UnixNano(), 36),
		registry: telemetry.Registry(),
		broken:   make(chan error, 8),
		drained:  make(chan struct{}),
		dialects: o.Dialects,
		path:     o.Path,
		reload:   o.Reload,
	}
	if err := d.start(ctx, log); err != nil {
		d.stop()
		return err
	}
	d.log.Info("Started.", "process", d.process, "zone", set.Node.Zone, "roles", set.Node.Roles)
	var cause error
	select {
	case <-ctx.Done():
	case <-d.drained:
	case cause = <-d.broken:
		d.log.Error("A part broke; the process ends.", "error", cause)
	}
	d.shutdown()
	return cause
}

func (d *Daemon) start(ctx context.Context, log *slog.Logger) error {
	if err := d.startTelemetry(ctx); err != nil {
		return err
	}
	server, client, err := netsec.NodeCredentials(d.set.TLS)
	if err != nil {
		return err
	}
	d.server = server
	d.dial = dialOptions(client, d.tracer)
	d.grpc = grpc.NewServer(append(rafttransport.ServerOptions(),
		grpc.Creds(server),
		grpc.StatsHandler(otelgrpc.NewServerHandler(otelgrpc.WithTracerProvider(d.tracer),
			otelgrpc.WithPropagators(propagation.TraceContext{}))),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	)...)
	run, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.group = ctlclient.New(ctlclient.Options{Addresses: peerAddresses(d.set), Dial: d.dial, Logger: log})
	d.follower = view.NewFollower(spec.Patch, time.Now)
	if err := d.startControl(log); err != nil {
		return err
	}
	if d.set.IsFleet() {
		return d.startFleet(run, log)
	}
	d.newScheduler(log)
	d.newHolder(log)
	if err := d.startEntry(log); err != nil {
		return err
	}
	wire.RegisterNodeServer(d.grpc, &nodeServer{d: d})
	if err := d.serveNodes(); err != nil {
		return err
	}
	d.duty(func() { d.group.Watch(run, d.process, d.watchedIndex, d.deliver) })
	d.duty(func() { d.holder.Run(run) })
	d.duty(func() { d.report(run) })
	return nil
}

func peerAddresses(set *settings.Settings) []string {
	var out []string
	for _, p := range set.Control.Peers {
		out = append(out, p.Address)
	}
	return append(out, set.Control.SeedAddresses()...)
}

func dialOptions(creds credentials.TransportCredentials, tp trace.TracerProvider) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithStatsHandler(otelgrpc.NewClientHandler(otelgrpc.WithTracerProvider(tp),
			otelgrpc.WithPropagators(propagation.TraceContext{}))),
	}
}

func (d *Daemon) startTelemetry(ctx context.Context) error {
	tp, flush, err := telemetry.Tracer(ctx, d.set.Tracing, d.set.Node.ID)
	if err != nil {
		return err
	}
	d.tracer, d.flush = tp, flush
	if d.set.Metrics.Listen == "" {
		return nil
	}
	ln, err := net.Listen("tcp", d.set.Metrics.Listen)
	if err != nil {
		return errors.Wrap(err, "metrics listener")
	}
	d.http = &http.Server{Handler: telemetry.Handler(d.registry, d.ready), ReadHeaderTimeout: connectTimeout}
	d.serve(func() { _ = d.http.Serve(ln) })
	return nil
}

// ready returns nil when each role of the node can do its work.
func (d *Daemon) ready() error {
	if d.control != nil && !d.control.Ready() {
		return errors.New("the control group has no leader here")
	}
	if d.entry != nil && !d.follower.Current().Fresh {
		return errors.New("the configuration is stale: no contact with the control group")
	}
	return nil
}

func (d *Daemon) serveNodes() error {
	ln, err := net.Listen("tcp", cmp.Or(d.set.Node.Listen, d.set.Node.Address))
	if err != nil {
		return errors.Wrap(err, "node listener")
	}
	d.serve(func() {
		if err := d.grpc.Serve(ln); err != nil {
			d.fail(errors.Wrap(err, "node listener"))
		}
	})
	return nil
}

func (d *Daemon) duty(f func()) {
	d.duties.Add(1)
	go func() {
		defer d.duties.Done()
		f()
	}()
}

func (d *Daemon) serve(f func()) {
	d.serving.Add(1)
	go func() {
		defer d.serving.Done()
		f()
	}()
}

// fail ends the process; later failures than the first ones are only logged.
func (d *Daemon) fail(err error) {
	select {
	case d.broken <- err:
	default:
		d.log.Error("Another part broke.", "error", err)
	}
}

func (d *Daemon) watchedIndex() uint64 { return d.follower.Current().Index }

// deliver takes one delta of the watch and passes changes on to the scheduler.
func (d *Daemon) deliver(delta *wire.Delta) {
	before := d.follower.Current()
	err := d.follower.Apply(delta)
	if errors.Is(err, view.ErrStaleDelta) {
		return
	}
	if err != nil {
		d.log.Error("Delta refused.", "index", delta.Index, "error", err)
		return
	}
	if d.session != nil {
		d.followScheduler()
	}
	if d.scheduler != nil {
		d.informScheduler(before, delta)
	}
}

func (d *Daemon) informScheduler(before *view.View, delta *wire.Delta) {
	now := d.follower.Current()
	if now.Spec.GetIndex() != before.Spec.GetIndex() {
		d.scheduler.SpecChanged(now.Spec)
	}
	if delta.Snapshot || len(delta.PutSuspects) > 0 || len(delta.DropSuspects) > 0 {
		d.scheduler.SuspectsChanged(now.Suspects())
	}
}

// contact renews the right to act on the followed configuration. An answer that names a
// newer file than the one followed does not: the node must catch up first.
func (d *Daemon) contact(sent time.Time, specIndex uint64) {
	if d.follower.Current().Spec.GetIndex() >= specIndex {
		d.follower.Renew(sent, time.Duration(d.set.Control.LeaseTTL))
	}
}

// report tells the leader what this node enforces and takes the order to drain.
func (d *Daemon) report(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		d.reportOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (d *Daemon) reportOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	v := d.follower.Current()
	rep := &wire.NodeReport{
		Node: d.set.Node.ID, Zone: d.set.Node.Zone, Address: d.set.Node.Address,
		EnforcedIndex: v.Spec.GetIndex(), SpecVersion: v.Spec.GetVersion(),
	}
	for _, r := range d.set.Node.Roles {
		rep.Roles = append(rep.Roles, string(r))
	}
	ack, err := d.group.ReportNode(ctx, rep)
	if err != nil {
		return
	}
	if ack.Drain {
		d.once.Do(func() {
			d.log.Info("Drain ordered.")
			close(d.drained)
		})
	}
}

// shutdown ends the parts in the order that cuts off nothing: callers first, then the
// leases, then the listeners, the control replica last.
func (d *Daemon) shutdown() {
	d.log.Info("Shutting down.")
	if d.entry != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.set.Entry.DrainLimit))
		if err := d.entry.Shutdown(ctx); err != nil {
			d.log.Warn("Requests were still in progress at the drain limit.", "error", err)
		}
		cancel()
	}
	if d.gateway != nil {
		if err := d.gateway.Shutdown(context.Background()); err != nil {
			d.log.Warn("Requests were still in progress at the drain limit.", "error", err)
		}
	}
	d.stop()
	d.log.Info("Stopped.")
}

// stop ends the duties first: giving the leases back needs the listeners still.
func (d *Daemon) stop() {
	if d.cancel != nil {
		d.cancel()
	}
	d.duties.Wait()
	if d.session != nil {
		d.closeSession()
	}
	if d.scheduler != nil {
		d.scheduler.LeaseLost()
	}
	d.stopCoordinator()
	for _, g := range []*grpc.Server{d.operator, d.grpc} {
		if g != nil {
			g.Stop()
		}
	}
	if d.http != nil {
		d.http.Close()
	}
	d.serving.Wait()
	if d.control != nil {
		if err := d.control.Close(); err != nil {
			d.log.Warn("Closing the replica failed.", "error", err)
		}
	}
	if d.group != nil {
		_ = d.group.Close() // closes connections only
	}
	d.flushSpans()
}

func (d *Daemon) closeSession() {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	if err := d.session.Close(ctx); err != nil {
		d.log.Warn("The scheduler was not told of every slot given back.", "error", err)
	}
}

func (d *Daemon) flushSpans() {
	if d.flush == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	if err := d.flush(ctx); err != nil {
		d.log.Warn("Spans were lost.", "error", err)
	}
}

// nodeServer answers questions that control VMs pass on.
type nodeServer struct {
	wire.UnimplementedNodeServer
	d *Daemon
}

// Explain implements wire.NodeServer.
func (n *nodeServer) Explain(ctx context.Context, req *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	resp := &wire.ExplainResponse{}
	if n.d.scheduler != nil {
		resp.Lines = append(resp.Lines, n.d.scheduler.Explain(ctx, req.Subject)...)
	}
	if n.d.entry != nil {
		resp.Lines = append(resp.Lines, n.d.entry.Explain(req.Subject)...)
	}
	for i, line := range resp.Lines {
		resp.Lines[i] = fmt.Sprintf("%s: %s", n.d.set.Node.ID, line)
	}
	return resp, nil
}
