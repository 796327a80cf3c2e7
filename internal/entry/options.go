// Package entry is the server that callers connect to. It validates their requests,
// obtains slots from the scheduler, calls the upstreams, checks their responses and gives
// every request exactly one final response.
package entry

import (
	"context"
	"crypto/rand"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"gentiankeel/internal/view"
	"gentiankeel/internal/wire"
)

// Scheduler is a client of the cell's scheduler.
type Scheduler interface {
	// Acquire waits for a slot. A refusal is an *errkind.Error. If ctx ends first, the
	// request is cancelled and a grant that arrives later is released as unused. onLost is
	// called, once, if the granted upstream restarts before the slot is released.
	Acquire(ctx context.Context, ask *wire.Ask, onLost func()) (*wire.Grant, error)
	// Release returns a slot to the scheduler. It does not block.
	Release(r *wire.Release)
	// ReportProgress reports a slow attempt. It does not block.
	ReportProgress(p *wire.Progress)
	// Announce forwards an upstream's announcement, a JSON upstream.Announcement.
	Announce(ctx context.Context, announcement []byte) (*wire.AnnounceResponse, error)
}

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	Current() *view.View
}

// Proposer commits commands to the replicated log.
type Proposer interface {
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// Defaults of Options.
const (
	DefaultMaxBodyBytes        = 4 << 20
	DefaultMaxResponseBytes    = 4 << 20
	DefaultMaxInFlight         = 8192
	DefaultMaxConnsPerUpstream = 512
	DefaultMaxAttempts         = 3
	DefaultDeadline            = 60 * time.Second
	DefaultMaxDeadline         = 10 * time.Minute
	DefaultRetryPercent        = 10
	DefaultRetryBurst          = 20
	DefaultDrainSettle         = 2 * time.Second
	DefaultBodyTimeout         = 10 * time.Second
	DefaultIdleTimeout         = 2 * time.Minute
	DefaultLedgerFinishWait    = 500 * time.Millisecond
)

// Options configure a Server. Fields that are zero take the defaults.
type Options struct {
	NodeID    string // node id and incarnation, unique to this process
	Listen    string // IP:port; port 0 chooses a free one
	Scheduler Scheduler
	Config    ConfigSource
	Ledger    Proposer // for the commands of the ledger

	// Callers maps bearer tokens to callers. If it is empty, the header X-Caller is
	// trusted.
	Callers map[string]string

	MaxBodyBytes        int
	MaxResponseBytes    int // of a response that is not a stream
	MaxInFlight         int // concurrent requests
	MaxConnsPerUpstream int
	MaxAttempts         int           // sent attempts per request
	RetryPercent        int           // retries and hedges per hundred requests
	RetryBurst          int           // limit on saved-up retries
	BodyTimeout         time.Duration // from the first byte of a request to its last
	IdleTimeout         time.Duration // of a caller's connection
	DrainSettle         time.Duration // from the failure of /readyz to the first refusal
	LedgerFinishWait    time.Duration // longest wait of a response for its ledger record

	Now            func() time.Time // must return a monotonic reading
	NewID          func() string    // unique across all entries
	TracerProvider trace.TracerProvider
	Registerer     prometheus.Registerer
	Logger         *slog.Logger
}

func (o Options) withDefaults() (Options, error) {
	if o.Scheduler == nil || o.Config == nil || o.Ledger == nil {
		return o, errors.New("entry: a scheduler, a configuration and a ledger are required")
	}
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&o.MaxInFlight, DefaultMaxInFlight)
	setDefault(&o.MaxConnsPerUpstream, DefaultMaxConnsPerUpstream)
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	setDefault(&o.RetryPercent, DefaultRetryPercent)
	setDefault(&o.RetryBurst, DefaultRetryBurst)
	setDefault(&o.BodyTimeout, DefaultBodyTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.DrainSettle, DefaultDrainSettle)
	setDefault(&o.LedgerFinishWait, DefaultLedgerFinishWait)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = rand.Text
	}
	if o.TracerProvider == nil {
		o.TracerProvider = noop.NewTracerProvider()
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o, nil
}

func setDefault[T int | time.Duration](v *T, defaultValue T) {
	if *v <= 0 {
		*v = defaultValue
	}
}
