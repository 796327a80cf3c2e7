package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/coordinator"
	"gentiankeel/internal/detour"
	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/errkind"
	"gentiankeel/internal/fleet"
	"gentiankeel/internal/gateway"
	"gentiankeel/internal/group"
	"gentiankeel/internal/httpserver"
	"gentiankeel/internal/raftstore"
	"gentiankeel/internal/relay"
	"gentiankeel/internal/replica"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/settings"
	"gentiankeel/internal/wire"
)

// Dialects implements the protocol that callers, upstreams and operators use.
type Dialects struct {
	// Gateway translates callers' requests and upstreams' responses.
	Gateway gateway.Dialect
	// Control returns the handler of upstreams' and operators' calls to a control VM; port
	// is that of its listener.
	Control func(api coordinator.API, port uint16) http.Handler
	// Runners returns the client for calls to runners; holder is this node's id in orders.
	Runners func(holder string) coordinator.Runners
	// Decode decodes and validates an operator's routing configuration.
	Decode func(document []byte) (*routing.Config, error)
}

const (
	// settingsPollInterval is the time between two checks of the settings file, which may
	// change without a signal.
	settingsPollInterval = 2 * time.Second
	// missedHeartbeats is the number of missed heartbeats after which an upstream is
	// suspect. Half an interval is added to it for delays.
	missedHeartbeats = 3
)

// startRoutingRoles opens the listener for other nodes and starts the node's roles
// coordinator and gateway.
func (d *Daemon) startRoutingRoles(ctx context.Context, log *slog.Logger) error {
	if d.cfg.HasRole(settings.RoleCoordinator) {
		if err := d.newCoordinator(log); err != nil {
			return err
		}
	}
	if d.cfg.HasRole(settings.RoleGateway) {
		if err := d.newGateway(log); err != nil {
			return err
		}
	}
	if err := d.serveNodes(); err != nil {
		return err
	}
	if d.fleetHTTP != nil {
		if err := d.fleetHTTP.Start(); err != nil {
			return err
		}
	}
	if d.gateway != nil {
		if err := d.gateway.Start(); err != nil {
			return err
		}
	}
	d.goBackground(func() { d.watchSettings(ctx) })
	return nil
}

func (d *Daemon) newCoordinator(log *slog.Logger) error {
	cfg := d.cfg.Coordinator
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return errors.Wrap(err, "coordinator.listen")
	}
	fleetSettings := fleet.DefaultSettings()
	fleetSettings.HeartbeatInterval = time.Duration(cfg.Heartbeat)
	fleetSettings.SuspectAfter = missedHeartbeats*time.Duration(cfg.Heartbeat) + time.Duration(cfg.Heartbeat)/2
	fleetSettings.StoreConcurrency = cfg.StoreConcurrency
	fleetSettings.AdapterConcurrency = cfg.AdapterInFlight
	fleetSettings.Prefetch = cfg.Prefetch
	turnInterval := time.Duration(cfg.TurnInterval)
	if cfg.RequireFence {
		turnInterval = 0
	}
	c, err := coordinator.New(coordinator.Options{
		NodeID:        d.cfg.Node.ID,
		Address:       d.cfg.Node.Address,
		Zone:          d.cfg.Node.Zone,
		Control:       d.control,
		Group:         d.group,
		Membership:    group.Options{Voters: d.cfg.Control.Voters()},
		FleetSettings: fleetSettings,
		TurnInterval:  turnInterval,
		Runners:       d.dialects.Runners(d.cfg.Node.ID),
		Decode:        d.dialects.Decode,
		Logger:        log,
		Registerer:    d.registry,
	})
	if err != nil {
		return err
	}
	d.coordinator = c
	c.Register(d.nodeGRPC)
	budget, err := d.callerBudget(log)
	if err != nil {
		return err
	}
	d.fleetHTTP, err = httpserver.New(httpserver.Options{
		Listen:  cfg.Listen,
		Handler: d.dialects.Control(c.API(), listen.Port()),
		Pollers: 1,
		Budget:  budget,
		// Decoding a document takes several times its size.
		MaxLargeInFlight: largeControlCalls,
		MaxHeaderBytes:   d.cfg.HTTP.MaxHeaderBytes,
		MaxPipelined:     d.cfg.HTTP.MaxPipelined,
		MaxWriteBuffer:   d.cfg.HTTP.MaxUnsentBytes,
		HeaderTimeout:    time.Duration(d.cfg.HTTP.HeaderTimeout),
		BodyTimeout:      time.Duration(d.cfg.HTTP.BodyTimeout),
		WriteTimeout:     time.Duration(d.cfg.HTTP.WriteTimeout),
		// Each upstream keeps a connection to the VM that takes its heartbeats. Beyond these the rest
		// goes to other VMs; without descriptors the replica could not write its log.
		MaxConnections: int(d.cfg.Node.MaxFiles * heartbeatConnShare),
		IdleTimeout:    idleHeartbeats * time.Duration(cfg.Heartbeat),
		Refuse:         refuseUnreadRequest,
		Logger:         log,
	})
	return err
}

const (
	// heartbeatConnShare is the share of a control VM's descriptors for the connections of upstreams
	// and operators.
	heartbeatConnShare = 0.75
	// largeControlCalls is the number of calls with large bodies that a control VM handles at once.
	largeControlCalls = 2
	// callerMemoryShare is the share of node.memory_mb that callers may hold. The rest is for what the
	// process itself holds and for garbage.
	callerMemoryShare = 0.2
	// These are the shares of an entry's descriptors for callers' connections, for probes, for running
	// requests, each of which has a connection to an upstream, for idle connections to upstreams, and for those of other entries. The
	// rest is left for the process's own files and connections.
	callerConnShare   = 7.0 / 16
	readyConnShare    = 1.0 / 32
	requestShare      = 1.0 / 4
	idleUpstreamShare = 1.0 / 8
	relayShare        = 1.0 / 8
	// idleHeartbeats is the number of heartbeats that upstreams may leave out before a connection of
	// theirs is closed: they have gone over to another VM.
	idleHeartbeats = 10
)

// refuseUnreadRequest builds the response to a request that can't be read or is shed, and so
// never reaches the handler. The body is empty.
func refuseUnreadRequest(k errkind.Kind, _ string) httpserver.Refusal {
	res := errkind.ResponseOf(k)
	h := http.Header{}
	if res.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(res.RetryAfter.Seconds(), 'f', -1, 64))
	}
	return httpserver.Refusal{Status: res.Status, Header: h}
}

// callerBudget returns the budget for what callers of all listeners of this process hold.
func (d *Daemon) callerBudget(log *slog.Logger) (*httpserver.Budget, error) {
	if d.budget != nil {
		return d.budget, nil
	}
	mib := d.cfg.HTTP.MemoryMiB
	if mib <= 0 {
		mib = d.cfg.Node.MemoryMiB * callerMemoryShare
	}
	var err error
	d.budget, err = httpserver.NewBudget(int64(mib*(1<<20)), d.registry, log)
	return d.budget, err
}

// bound returns the lower one of two bounds, of which 0 is none.
func bound(a, b int) int {
	if a <= 0 || b <= 0 {
		return max(a, b)
	}
	return min(a, b)
}

// newGateway creates the gateway and the relay that it offers to other entries.
func (d *Daemon) newGateway(log *slog.Logger) error {
	cfg := d.cfg.Gateway
	budget, err := d.callerBudget(log)
	if err != nil {
		return err
	}
	files := d.cfg.Node.MaxFiles
	d.relays = relay.NewDialer(relay.DialerOptions{DialOptions: d.dialOpts})
	g, err := gateway.New(gateway.Options{
		InstanceID:       d.processID,
		Listen:           cfg.Listen,
		ReadyAddress:     cfg.ReadyAddress,
		Zone:             d.cfg.Node.Zone,
		Dialect:          d.dialects.Gateway,
		ControlClient:    d.group,
		DispatchSettings: dispatch.DefaultSettings(),
		MaxBodyBytes:     int(cfg.MaxBodyBytes),
		MaxInFlight:      bound(cfg.MaxRequests, int(files*requestShare)),
		Budget:           budget,
		MemoryBytes:      int64(d.cfg.Node.MemoryMiB * (1 << 20)),
		MaxConnections:   bound(d.cfg.HTTP.MaxConnections, int(files*callerConnShare)),
		MaxReadyConns:    int(files * readyConnShare),
		MaxIdleUpstreams: int(files * idleUpstreamShare),
		MaxHeaderBytes:   d.cfg.HTTP.MaxHeaderBytes,
		MaxPipelined:     d.cfg.HTTP.MaxPipelined,
		MaxUnsentBytes:   d.cfg.HTTP.MaxUnsentBytes,
		HeaderTimeout:    time.Duration(d.cfg.HTTP.HeaderTimeout),
		BodyTimeout:      time.Duration(d.cfg.HTTP.BodyTimeout),
		WriteTimeout:     time.Duration(d.cfg.HTTP.WriteTimeout),
		IdleTimeout:      time.Duration(cfg.IdleTimeout),
		DrainAnnounce:    time.Duration(cfg.DrainAnnounce),
		DrainLimit:       time.Duration(cfg.DrainLimit),
		MaxStale:         time.Duration(cfg.MaxStale),
		FailClosed:       cfg.FailClosed,
		RevokeAfter:      time.Duration(cfg.RevokeAfter),
		RetryPercent:     cfg.RetryPercent,
		RetryBurst:       cfg.RetryBurst,
		RetrySlack:       cfg.RetrySlack,
		UpstreamSource:   cfg.Source,
		RelayAddress:     d.cfg.Node.Address,
		DialRelay:        d.dialRelay,
		Registerer:       d.registry,
		Logger:           log,
	})
	if err != nil {
		return err
	}
	d.gateway = g
	d.relay, err = relay.New(relay.Options{
		Dial:           g.DialUpstream,
		MaxConnections: int(files * relayShare),
		Logger:         log,
		Registerer:     d.registry,
	})
	if err != nil {
		return err
	}
	d.relay.Register(d.nodeGRPC)
	return nil
}

// dialRelay opens a connection to an upstream through another entry.
func (d *Daemon) dialRelay(ctx context.Context, via, addr string) (net.Conn, error) {
	c, err := d.relays.Dial(ctx, via, addr)
	if errors.Is(err, relay.ErrRelayUnavailable) {
		return nil, errors.Wrap(detour.ErrRelayDown, err.Error())
	}
	return c, err
}

// membersFromSeeds returns the initial voters of a group that grows automatically: the seeds,
// with their addresses as names, since their ids are unknown. It returns nil if this node
// does not bootstrap or is not a seed.
func (d *Daemon) membersFromSeeds() []*wire.Member {
	if !d.cfg.Control.Bootstrap {
		return nil
	}
	includesSelf := false
	var out []*wire.Member
	for _, addr := range d.cfg.Control.SeedAddresses() {
		out = append(out, &wire.Member{Name: addr, Address: addr})
		includesSelf = includesSelf || addr == d.cfg.Node.Address
	}
	if !includesSelf {
		return nil
	}
	return out
}

// watchSettings reloads the settings file when it changes or on a signal, until ctx ends.
// Only the seeds are applied to the running process; any other change takes effect at the
// next start.
func (d *Daemon) watchSettings(ctx context.Context) {
	if d.settingsPath == "" {
		return
	}
	last, err := os.ReadFile(d.settingsPath)
	if err != nil {
		d.log.Warn("The settings file can't be read.", "error", err)
	}
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		reason := "the file changed"
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-d.reload:
			reason = "signal"
		}
		data, err := os.ReadFile(d.settingsPath)
		if err != nil {
			d.log.Warn("The settings file can't be read.", "error", err)
			continue
		}
		if reason != "signal" && bytes.Equal(data, last) {
			continue
		}
		last = data
		d.applySettings(data, reason)
	}
}

// applySettings parses changed settings and applies the seeds.
func (d *Daemon) applySettings(data []byte, reason string) {
	next, err := settings.Parse(data)
	if err != nil {
		d.log.Error("Changed settings are invalid; the current ones stay in force.", "error", err)
		return
	}
	d.group.SetSeeds(next.Control.SeedAddresses())
	d.log.Info("Settings reloaded.", "reason", reason, "seeds", next.Control.Seeds)
}

// handleReplicaFailure ends the process after the replica stopped by itself. A replica that
// was removed from the group, or whose disk was rolled back, must not vote again: in a
// group that grows automatically its data is deleted, so that it joins as a new member after
// the restart.
func (d *Daemon) handleReplicaFailure(err error) {
	if d.cfg.HasRoutingRole() && replica.NeedsNewIdentity(err) {
		d.log.Warn("The replica can't stay a member; it rejoins with an empty disk.", "error", err)
		if removeErr := raftstore.Remove(d.cfg.Node.DataDir); removeErr != nil {
			d.log.Error("Removing the replica's files failed.", "error", removeErr)
		}
	}
	d.fail(err)
}

func (d *Daemon) stopCoordinator() {
	if d.fleetHTTP != nil {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		if err := d.fleetHTTP.Shutdown(ctx); err != nil {
			d.log.Warn("Calls of upstreams or operators were still in progress at the shutdown.", "error", err)
		}
		cancel()
	}
	if d.coordinator != nil {
		d.coordinator.Close()
	}
}
