// Package entry terminates callers: it validates and admits their requests, asks the
// scheduler for slots, calls the upstreams, checks the answers and gives every request
// exactly one final answer.
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

// Slots is the way to the scheduler of the cell.
type Slots interface {
	// Ask waits for a slot. A refusal is an *errkind.Error. When ctx ends first the
	// ask is taken back; a grant that comes later is given back unused.
	Ask(ctx context.Context, ask *wire.Ask) (*wire.Grant, error)
	// Release gives a slot back; it does not block.
	Release(r *wire.Release)
	// Progress reports a late attempt; it does not block.
	Progress(p *wire.Progress)
	// Announce passes an upstream's announcement on, JSON of upstream.Announcement.
	Announce(ctx context.Context, announcement []byte) (*wire.AnnounceResponse, error)
}

// Config gives the configuration in force.
type Config interface {
	Current() *view.View
}

// Proposer commits commands to the replicated log.
type Proposer interface {
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// Defaults of Options.
const (
	DefaultMaxBodyBytes        = 4 << 20
	DefaultMaxAnswerBytes      = 4 << 20
	DefaultMaxInFlight         = 8192
	DefaultMaxConnsPerUpstream = 512
	DefaultMaxAttempts         = 3
	DefaultDeadline            = 60 * time.Second
	DefaultMaxDeadline         = 10 * time.Minute
	DefaultRetryPercent        = 10 // retries per hundred requests
	DefaultRetryBurst          = 20 // retries saved up at most
	DefaultSettle              = 2 * time.Second
	DefaultBodyTimeout         = 10 * time.Second
	DefaultIdleTimeout         = 2 * time.Minute
	DefaultFinishWait          = 500 * time.Millisecond
)

// Options configure a Server; zero fields take the defaults.
type Options struct {
	Node   string // node id from the settings
	Listen string // IP:port; port 0 takes a free one
	Slots  Slots
	Config Config
	Ledger Proposer

	// Callers maps the bearer token of a request to its caller. Empty: every caller
	// is taken at its word (header X-Caller).
	Callers map[string]string

	MaxBodyBytes        int
	MaxAnswerBytes      int // of an answer that is not a stream
	MaxInFlight         int // requests at once
	MaxConnsPerUpstream int
	MaxAttempts         int // sent attempts of one request
	RetryPercent        int // retries and hedges per hundred requests
	RetryBurst          int
	BodyTimeout         time.Duration // from a request's first byte to its last
	IdleTimeout         time.Duration // of a caller's connection
	Settle              time.Duration // between a failing /readyz and the first refusal
	FinishWait          time.Duration // longest wait for the ledger before an answer

	Now        func() time.Time // must carry a monotonic reading
	NewID      func() string    // unique across all entries
	Tracer     trace.TracerProvider
	Registerer prometheus.Registerer
	Logger     *slog.Logger
}

func (o Options) withDefaults() (Options, error) {
	if o.Slots == nil || o.Config == nil || o.Ledger == nil {
		return o, errors.New("entry: Slots, Config and Ledger are needed")
	}
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&o.MaxInFlight, DefaultMaxInFlight)
	setDefault(&o.MaxConnsPerUpstream, DefaultMaxConnsPerUpstream)
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	setDefault(&o.RetryPercent, DefaultRetryPercent)
	setDefault(&o.RetryBurst, DefaultRetryBurst)
	setDefault(&o.BodyTimeout, DefaultBodyTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.Settle, DefaultSettle)
	setDefault(&o.FinishWait, DefaultFinishWait)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = rand.Text
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider()
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o, nil
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}
