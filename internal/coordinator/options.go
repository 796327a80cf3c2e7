// Package coordinator is the shell of a control VM towards the fleet: it takes the
// heartbeats of upstreams and the operator's calls, keeps the control group complete,
// and, while its replica leads, drives the fleet core and publishes to entries what
// changes.
package coordinator

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gentiankeel/internal/control"
	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/fleet"
	"gentiankeel/internal/group"
	"gentiankeel/internal/routing"
)

// Runners is the way to the runners' own interface.
type Runners interface {
	// Order sends one order under a fencing token. It returns what is known of it.
	Order(ctx context.Context, r Runner, token uint64, o fleet.Order) (fleet.OrderResult, error)
	// Report reads a runner's account of itself.
	Report(ctx context.Context, r Runner) (fleet.Report, error)
}

// Runner names one incarnation of a runner.
type Runner struct {
	ID      string
	Address string
}

// Options of a Server.
type Options struct {
	Node    string
	Address string // gRPC address of this node
	Zone    string
	Control *control.Server
	Group   *ctlclient.Client
	Keeper  group.Options
	Fleet   fleet.Settings
	Runners Runners
	// Decode turns the operator's document into the product's configuration and checks it.
	Decode     func(document []byte) (*routing.Config, error)
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

const (
	// pollInterval is the time between two looks at the replica's status: a fraction of
	// an election.
	pollInterval = 100 * time.Millisecond
	// tickInterval is the time between two ticks of the fleet core: it bounds how late an
	// adapter that was loaded is published.
	tickInterval = 25 * time.Millisecond
	// beatInterval is the time between two messages on a quiet stream; entries give a
	// stream up after several of them.
	beatInterval = 300 * time.Millisecond
	// joinInterval is the time between two offers of a replica that is no member.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one offer.
	joinTimeout = time.Second
	// callTimeout bounds a call to a runner's own interface. Its answer takes a few
	// milliseconds when it is well.
	callTimeout = 800 * time.Millisecond
	// changeTimeout bounds one membership change.
	changeTimeout = 2 * time.Second
	// formTimeout is how long the first routing configuration waits for a full group.
	formTimeout = 500 * time.Millisecond
	// inboxSize bounds the events that wait for the decision goroutine.
	inboxSize = 1024
	// streamQueue bounds the updates that wait for one entry; one that is slower is cut
	// off and attaches again.
	streamQueue = 256
)
