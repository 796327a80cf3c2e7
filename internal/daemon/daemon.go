// Package daemon starts, supervises and stops the components of one process according to
// the roles in its settings.
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
	"gentiankeel/internal/relay"
	"gentiankeel/internal/scheduler"
	"gentiankeel/internal/session"
	"gentiankeel/internal/settings"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/telemetry"
	"gentiankeel/internal/view"
	"gentiankeel/internal/wire"
)

const (
	// reportInterval is the time between two reports of this node to the leader, and the
	// timeout of each.
	reportInterval = 2 * time.Second
	// keepaliveTime is the idle time after which a connection between nodes is probed. It
	// is closed if the probe is not answered within keepaliveTimeout, so that a suspended
	// or unreachable peer is detected.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// connectTimeout bounds the setup of one connection between nodes and other short
	// network operations.
	connectTimeout = time.Second
)

// heapLimitPercent is the share of node.memory_mb that is set as the Go runtime's soft
// memory limit. The rest is left for memory that the garbage collector can't bound.
const heapLimitPercent = 60

// Daemon is one running process. Components of roles that the node lacks are nil.
type Daemon struct {
	cfg             *settings.Settings
	log             *slog.Logger
	startTime       time.Time
	processID       string // node id and incarnation
	registry        *prometheus.Registry
	tracerProvider  trace.TracerProvider
	shutdownTracing func(context.Context) error
	serverCreds     credentials.TransportCredentials
	dialOpts        []grpc.DialOption

	nodeGRPC     *grpc.Server  // for other nodes
	relay        *relay.Server // of connections to upstreams, for other entries
	relays       *relay.Dialer // to those of other entries
	operatorGRPC *grpc.Server
	metricsHTTP  *http.Server
	control      *control.Server
	group        *ctlclient.Client // of the control group
	follower     *view.Follower    // local view of the replicated state
	leaseHolder  *nodelease.Holder
	scheduler    *scheduler.Server
	session      *session.Client
	entry        *entry.Server

	dialects     Dialects
	coordinator  *coordinator.Server
	gateway      *gateway.Server
	fleetHTTP    *httpserver.Server // for upstreams and operators
	budget       *httpserver.Budget // what callers hold; nil: none yet
	settingsPath string             // empty: the file is not watched
	reload       <-chan os.Signal

	failed       chan error    // errors that end the process
	drainOrdered chan struct{} // closed once an operator has ordered a drain
	drainOnce    sync.Once
	cancel       context.CancelFunc
	background   sync.WaitGroup // goroutines that end on cancel
	servers      sync.WaitGroup // goroutines that end when their listeners close
}

// Options configures a Daemon.
type Options struct {
	Settings     *settings.Settings
	SettingsPath string // settings file to watch for changes; empty: none
	Logger       *slog.Logger
	Dialects     Dialects         // for the roles gateway and coordinator
	Reload       <-chan os.Signal // triggers a reload of the settings file; may be nil
}

// Run starts the daemon and blocks until ctx ends, an operator drains the node or a
// component fails; then it shuts down gracefully. It returns the error of the start or of
// the failed component, otherwise nil.
func Run(ctx context.Context, o Options) error {
	cfg, log := o.Settings, o.Logger
	if mb := cfg.Node.MemoryMiB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * (1 << 20) * heapLimitPercent / 100))
	}
	startTime := time.Now()
	d := &Daemon{
		cfg:          cfg,
		log:          log.With("part", "daemon"),
		startTime:    startTime,
		processID:    cfg.Node.ID + "/" + strconv.FormatInt(startTime.UnixNano(), 36),
		registry:     telemetry.NewRegistry(),
		failed:       make(chan error, 8),
		drainOrdered: make(chan struct{}),
		dialects:     o.Dialects,
		settingsPath: o.SettingsPath,
		reload:       o.Reload,
	}
	if err := d.start(ctx, log); err != nil {
		d.stop()
		return err
	}
	d.log.Info("Started.", "process", d.processID, "zone", cfg.Node.Zone, "roles", cfg.Node.Roles, "revision", revision())
	var cause error
	select {
	case <-ctx.Done():
	case <-d.drainOrdered:
	case cause = <-d.failed:
		d.log.Error("Component failed; the process ends.", "error", cause)
	}
	d.shutdown()
	return cause
}

func (d *Daemon) start(ctx context.Context, log *slog.Logger) error {
	if err := d.startTelemetry(ctx); err != nil {
		return err
	}
	serverCreds, clientCreds, err := netsec.NodeCredentials(d.cfg.TLS)
	if err != nil {
		return err
	}
	d.serverCreds = serverCreds
	d.dialOpts = dialOptions(clientCreds, d.tracerProvider)
	d.nodeGRPC = grpc.NewServer(append(rafttransport.ServerOptions(),
		grpc.Creds(serverCreds),
		grpc.StatsHandler(otelgrpc.NewServerHandler(otelgrpc.WithTracerProvider(d.tracerProvider),
			otelgrpc.WithPropagators(propagation.TraceContext{}))),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	)...)
	runCtx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.group = ctlclient.New(ctlclient.Options{Addresses: peerAddresses(d.cfg), Dial: d.dialOpts, Logger: log})
	d.follower = view.NewFollower(spec.Patch, time.Now)
	if err := d.startControl(log); err != nil {
		return err
	}
	if d.cfg.HasRoutingRole() {
		return d.startRoutingRoles(runCtx, log)
	}
	d.newScheduler(log)
	d.newLeaseHolder(log)
	if err := d.startEntry(log); err != nil {
		return err
	}
	wire.RegisterNodeServer(d.nodeGRPC, &nodeServer{d: d})
	if err := d.serveNodes(); err != nil {
		return err
	}
	d.goBackground(func() { d.group.Watch(runCtx, d.processID, d.watchedIndex, d.applyDelta) })
	d.goBackground(func() { d.leaseHolder.Run(runCtx) })
	d.goBackground(func() { d.runReports(runCtx) })
	return nil
}

// peerAddresses returns the known addresses of control VMs: peers, then seeds.
func peerAddresses(cfg *settings.Settings) []string {
	var out []string
	for _, p := range cfg.Control.Peers {
		out = append(out, p.Address)
	}
	return append(out, cfg.Control.SeedAddresses()...)
}

func dialOptions(creds credentials.TransportCredentials, tracerProvider trace.TracerProvider) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithStatsHandler(otelgrpc.NewClientHandler(otelgrpc.WithTracerProvider(tracerProvider),
			otelgrpc.WithPropagators(propagation.TraceContext{}))),
	}
}

// startTelemetry sets up tracing and, if metrics.listen is set, opens the listener for
// metrics, probes and profiles.
func (d *Daemon) startTelemetry(ctx context.Context) error {
	tp, shutdown, err := telemetry.NewTracerProvider(ctx, d.cfg.Tracing, d.cfg.Node.ID)
	if err != nil {
		return err
	}
	d.tracerProvider, d.shutdownTracing = tp, shutdown
	if d.cfg.Metrics.Listen == "" {
		return nil
	}
	ln, err := net.Listen("tcp", d.cfg.Metrics.Listen)
	if err != nil {
		return errors.Wrap(err, "metrics listener")
	}
	d.metricsHTTP = &http.Server{Handler: telemetry.Handler(d.registry, d.ready), ReadHeaderTimeout: connectTimeout}
	d.goServe(func() { _ = d.metricsHTTP.Serve(ln) })
	return nil
}

// ready returns nil if the node's roles can serve, otherwise the reason why the readiness
// probe fails.
func (d *Daemon) ready() error {
	if d.control != nil && !d.control.Ready() {
		return errors.New("the control group has no leader here")
	}
	if d.entry != nil && !d.follower.Current().Fresh {
		return errors.New("the configuration is stale: no contact with the control group")
	}
	return nil
}

// serveNodes opens the listener for other nodes. All gRPC services must be registered by
// then.
func (d *Daemon) serveNodes() error {
	ln, err := net.Listen("tcp", cmp.Or(d.cfg.Node.Listen, d.cfg.Node.Address))
	if err != nil {
		return errors.Wrap(err, "node listener")
	}
	d.goServe(func() {
		if err := d.nodeGRPC.Serve(ln); err != nil {
			d.fail(errors.Wrap(err, "node listener"))
		}
	})
	return nil
}

// goBackground runs f in a goroutine that must return once the daemon's context ends.
func (d *Daemon) goBackground(f func()) {
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		f()
	}()
}

// goServe runs f in a goroutine that must return once its listener is closed.
func (d *Daemon) goServe(f func()) {
	d.servers.Add(1)
	go func() {
		defer d.servers.Done()
		f()
	}()
}

// fail ends the process because of err. It never blocks: once the channel is full, the
// error is only logged.
func (d *Daemon) fail(err error) {
	select {
	case d.failed <- err:
	default:
		d.log.Error("Another component failed.", "error", err)
	}
}

// watchedIndex returns the log index of the local view, after which the watch resumes.
func (d *Daemon) watchedIndex() uint64 { return d.follower.Current().Index }

// applyDelta applies one delta of the watch to the local view and notifies the session and
// the scheduler of changes. A delta older than the view is ignored.
func (d *Daemon) applyDelta(delta *wire.Delta) {
	before := d.follower.Current()
	err := d.follower.Apply(delta)
	if errors.Is(err, view.ErrStaleDelta) {
		return
	}
	if err != nil {
		d.log.Error("Delta rejected.", "index", delta.Index, "error", err)
		return
	}
	if d.session != nil {
		d.updateSchedulerTarget()
	}
	if d.scheduler != nil {
		d.notifyScheduler(before, delta)
	}
}

func (d *Daemon) notifyScheduler(before *view.View, delta *wire.Delta) {
	now := d.follower.Current()
	if now.Spec.GetIndex() != before.Spec.GetIndex() {
		d.scheduler.SpecChanged(now.Spec)
	}
	if delta.Snapshot || len(delta.PutSuspects) > 0 || len(delta.DropSuspects) > 0 {
		d.scheduler.SuspectsChanged(now.Suspects())
	}
}

// renewConfigLease extends the time for which the node may act on its local applied file,
// to the lease TTL after sent. It does nothing if the leader's file, at specIndex, is newer
// than the local one: the node must catch up first.
func (d *Daemon) renewConfigLease(sent time.Time, specIndex uint64) {
	if d.follower.Current().Spec.GetIndex() >= specIndex {
		d.follower.Renew(sent, time.Duration(d.cfg.Control.LeaseTTL))
	}
}

// runReports reports to the leader which configuration this node enforces, until ctx ends.
func (d *Daemon) runReports(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		d.sendReport(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sendReport sends one report. A failed one is dropped, as the next follows shortly. The
// acknowledgement carries an operator's order to drain.
func (d *Daemon) sendReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	v := d.follower.Current()
	report := &wire.NodeReport{
		Node: d.cfg.Node.ID, Zone: d.cfg.Node.Zone, Address: d.cfg.Node.Address,
		EnforcedIndex: v.Spec.GetIndex(), SpecVersion: v.Spec.GetVersion(),
	}
	for _, r := range d.cfg.Node.Roles {
		report.Roles = append(report.Roles, string(r))
	}
	ack, err := d.group.ReportNode(ctx, report)
	if err != nil {
		return
	}
	if ack.Drain {
		d.drainOnce.Do(func() {
			d.log.Info("Drain ordered.")
			close(d.drainOrdered)
		})
	}
}

// shutdown drains callers' requests first, then releases the leases, closes the listeners
// and stops the control replica last, so that no component loses one it depends on.
func (d *Daemon) shutdown() {
	d.log.Info("Shutting down.")
	if d.entry != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.cfg.Entry.DrainLimit))
		if err := d.entry.Shutdown(ctx); err != nil {
			d.log.Warn("Requests were still in progress at the drain limit.", "error", err)
		}
		cancel()
	}
	if d.gateway != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.cfg.Gateway.DrainLimit))
		if err := d.gateway.Shutdown(ctx); err != nil {
			d.log.Warn("Requests were still in progress at the drain limit.", "error", err)
		}
		d.relay.AwaitIdle(ctx)
		cancel()
	}
	d.stop()
	d.log.Info("Stopped.")
}

// stop stops all components that have been started. Background goroutines end first,
// because releasing leases still needs the listeners.
func (d *Daemon) stop() {
	if d.cancel != nil {
		d.cancel()
	}
	d.background.Wait()
	if d.session != nil {
		d.closeSession()
	}
	if d.scheduler != nil {
		d.scheduler.LeaseLost()
	}
	d.stopCoordinator()
	for _, g := range []*grpc.Server{d.operatorGRPC, d.nodeGRPC} {
		if g != nil {
			g.Stop()
		}
	}
	if d.relays != nil {
		d.relays.Close()
	}
	if d.metricsHTTP != nil {
		d.metricsHTTP.Close()
	}
	d.servers.Wait()
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
		d.log.Warn("Not every released slot was reported to the scheduler.", "error", err)
	}
}

func (d *Daemon) flushSpans() {
	if d.shutdownTracing == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	if err := d.shutdownTracing(ctx); err != nil {
		d.log.Warn("Flushing the spans failed.", "error", err)
	}
}

// nodeServer serves calls that control VMs forward to nodes.
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
		resp.Lines[i] = fmt.Sprintf("%s: %s", n.d.cfg.Node.ID, line)
	}
	return resp, nil
}

// revision returns the commit that the program was built from, or "unknown" if its build did not record it.
func revision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	return "unknown"
}
