package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/coordinator"
	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/errkind"
	"gentiankeel/internal/fleet"
	"gentiankeel/internal/gateway"
	"gentiankeel/internal/group"
	"gentiankeel/internal/httpserver"
	"gentiankeel/internal/raftstore"
	"gentiankeel/internal/replica"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/settings"
	"gentiankeel/internal/wire"
)

// Dialects are the forms in which callers, upstreams and operators speak.
type Dialects struct {
	Gateway gateway.Dialect
	// Control serves upstreams' and operators' calls to a control VM; port is that of its
	// listener.
	Control func(api coordinator.API, port uint16) http.Handler
	// Runners calls runners; holder names this node in orders.
	Runners func(holder string) coordinator.Runners
	Decode  func(document []byte) (*routing.Config, error)
}

const (
	// reloadInterval is the time between two looks at the settings file, which may change
	// without a signal.
	reloadInterval = 2 * time.Second
	// missedHeartbeats is the number of heartbeats after which an upstream is avoided.
	missedHeartbeats = 3
)

// startFleet starts the roles that serve a routing configuration.
func (d *Daemon) startFleet(ctx context.Context, log *slog.Logger) error {
	if d.set.HasRole(settings.RoleCoordinator) {
		if err := d.newCoordinator(log); err != nil {
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
	if d.set.HasRole(settings.RoleGateway) {
		if err := d.startGateway(log); err != nil {
			return err
		}
	}
	d.duty(func() { d.watchSettings(ctx) })
	return nil
}

func (d *Daemon) newCoordinator(log *slog.Logger) error {
	set := d.set.Coordinator
	listen, err := netip.ParseAddrPort(set.Listen)
	if err != nil {
		return errors.Wrap(err, "coordinator.listen")
	}
	fs := fleet.DefaultSettings()
	fs.SuspectAfter = missedHeartbeats*time.Duration(set.Heartbeat) + time.Duration(set.Heartbeat)/2
	fs.StoreConcurrency = set.StoreConcurrency
	fs.AdapterConcurrency = set.AdapterInFlight
	fs.Prefetch = set.Prefetch
	c, err := coordinator.New(coordinator.Options{
		Node:       d.set.Node.ID,
		Address:    d.set.Node.Address,
		Zone:       d.set.Node.Zone,
		Control:    d.control,
		Group:      d.group,
		Keeper:     group.Options{Voters: d.set.Control.Voters()},
		Fleet:      fs,
		Runners:    d.dialects.Runners(d.set.Node.ID),
		Decode:     d.dialects.Decode,
		Logger:     log,
		Registerer: d.registry,
	})
	if err != nil {
		return err
	}
	d.coordinator = c
	c.Register(d.grpc)
	d.fleetHTTP, err = httpserver.New(httpserver.Options{
		Listen:  set.Listen,
		Handler: d.dialects.Control(c.API(), listen.Port()),
		Pollers: 1,
		Refuse:  refuseUnread,
		Logger:  log,
	})
	return err
}

// refuseUnread answers a request that never reaches a handler.
func refuseUnread(k errkind.Kind, _ string) httpserver.Refusal {
	return httpserver.Refusal{Status: errkind.AnswerOf(k).Status, Header: http.Header{}}
}

func (d *Daemon) startGateway(log *slog.Logger) error {
	set := d.set.Gateway
	g, err := gateway.New(gateway.Options{
		Node:          d.process,
		Listen:        set.Listen,
		Ready:         set.Ready,
		Zone:          d.set.Node.Zone,
		Dialect:       d.dialects.Gateway,
		Group:         d.group,
		Dispatch:      dispatch.DefaultSettings(),
		MaxBodyBytes:  int(set.MaxBody),
		MaxInFlight:   set.MaxRequests,
		IdleTimeout:   time.Duration(set.IdleTimeout),
		DrainAnnounce: time.Duration(set.DrainAnnounce),
		DrainLimit:    time.Duration(set.DrainLimit),
		MaxStale:      time.Duration(set.MaxStale),
		RetryPercent:  set.RetryPercent,
		RetryBurst:    set.RetryBurst,
		Registerer:    d.registry,
		Logger:        log,
	})
	if err != nil {
		return err
	}
	d.gateway = g
	return g.Start()
}

// seedMembers are the initial voters of a group that grows by itself: the seeds, under
// their addresses, as nothing else is known of them.
func (d *Daemon) seedMembers() []*wire.Member {
	if !d.set.Control.Bootstrap {
		return nil
	}
	own := false
	var out []*wire.Member
	for _, addr := range d.set.Control.SeedAddresses() {
		out = append(out, &wire.Member{Name: addr, Address: addr})
		own = own || addr == d.set.Node.Address
	}
	if !own {
		return nil
	}
	return out
}

// watchSettings follows the settings file. Only the seeds can change while the process
// runs; a change of anything else takes effect with the next start.
func (d *Daemon) watchSettings(ctx context.Context) {
	if d.path == "" {
		return
	}
	last, err := os.ReadFile(d.path)
	if err != nil {
		d.log.Warn("The settings file can't be read.", "error", err)
	}
	tick := time.NewTicker(reloadInterval)
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
		data, err := os.ReadFile(d.path)
		if err != nil {
			d.log.Warn("The settings file can't be read.", "error", err)
			continue
		}
		if reason != "signal" && bytes.Equal(data, last) {
			continue
		}
		last = data
		d.takeSettings(data, reason)
	}
}

func (d *Daemon) takeSettings(data []byte, reason string) {
	next, err := settings.Parse(data)
	if err != nil {
		d.log.Error("Changed settings are refused; the ones in force stay.", "error", err)
		return
	}
	d.group.Hint(next.Control.SeedAddresses())
	d.log.Info("Settings reloaded.", "reason", reason, "seeds", next.Control.Seeds)
}

// replicaBroken handles a replica that stopped by itself. One that was removed, or whose
// disk was set back, can't vote any more: it starts again on an empty disk and joins.
func (d *Daemon) replicaBroken(err error) {
	if d.set.IsFleet() && replica.NeedsNewIdentity(err) {
		d.log.Warn("The replica gives up its place and joins anew.", "error", err)
		if rerr := raftstore.Remove(d.set.Node.DataDir); rerr != nil {
			d.log.Error("The replica's files can't be removed.", "error", rerr)
		}
	}
	d.fail(err)
}

func (d *Daemon) stopCoordinator() {
	if d.fleetHTTP != nil {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		if err := d.fleetHTTP.Shutdown(ctx); err != nil {
			d.log.Warn("Calls of upstreams or operators were cut off.", "error", err)
		}
		cancel()
	}
	if d.coordinator != nil {
		d.coordinator.Close()
	}
}
