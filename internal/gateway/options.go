// Package gateway serves the requests of a routing configuration at an entry: it finds a
// request's route, gets an upstream from the dispatch core, forwards the request and
// gives it exactly one final answer. The form in which requests and answers come is a
// Dialect's.
package gateway

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/routing"
)

// Dialect translates between the form of requests and answers on the wire and the
// product's own. It keeps no state and decides nothing.
type Dialect interface {
	// Parse reads what a request says of itself.
	Parse(r *http.Request) Meta
	// Forward builds the header fields that an upstream gets.
	Forward(in http.Header, f Forward) http.Header
	// Answers tells whether a response belongs to the request.
	Answers(req *http.Request, res *http.Response) bool
	// Head reads what a response says of itself.
	Head(res *http.Response) Head
	// Backward copies the header fields of an upstream's response that callers get.
	Backward(dst, src http.Header)
	// Event reads the position of one event of a stream; false where it carries none.
	Event(raw []byte) (id uint64, ok bool)
	// Decode reads and checks a routing document.
	Decode(document []byte) (*routing.Config, error)
	// ReadyPath is the path of the readiness probe.
	ReadyPath() string
}

// Meta is what a request says of itself.
type Meta struct {
	ID       string
	Wait     time.Duration // how long the caller waits; 0: not said
	Model    string
	Adapter  string
	Prompt   int    // tokens of the prompt
	Output   int    // most tokens of the answer
	Parts    []Part // of the prompt, in order; the last one is the request's own
	After    uint64 // last event that the caller has of a stream that it resumes
	HasAfter bool
}

// Part is one part of a prompt, which other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Forward is what an attempt tells its upstream.
type Forward struct {
	Upstream string        // incarnation that shall run it
	Left     time.Duration // until the deadline
	Priority int
	After    uint64 // last event that the caller has
	HasAfter bool
}

// Head is what the head of a response says of itself.
type Head struct {
	NotRun  bool // the upstream did not run the request and will not
	NotHeld bool // it is another incarnation, or does not hold the model
	Signed  bool // it carries the upstream's signature
}

// Options configure a Server; zero fields take the defaults.
type Options struct {
	Node   string // node id and incarnation
	Listen string // callers' address
	Ready  string // address of the readiness probe
	Zone   string

	Dialect  Dialect
	Group    *ctlclient.Client
	Dispatch dispatch.Settings

	MaxBodyBytes int
	MaxInFlight  int
	IdleTimeout  time.Duration // of a caller's connection between requests
	// DrainAnnounce is how long a leaving entry goes on as before while the balancer
	// learns that it is not ready; DrainLimit is when requests in progress are cut off.
	DrainAnnounce time.Duration
	DrainLimit    time.Duration
	// MaxStale is how long the entry serves without word from a coordinator.
	MaxStale time.Duration
	// ConfigWait is how long a request waits at an entry that knows no configuration yet.
	ConfigWait time.Duration
	// RetryPercent and RetryBurst bound the attempts beyond the first of each request, of
	// each service.
	RetryPercent int
	RetryBurst   int

	Registerer prometheus.Registerer
	Logger     *slog.Logger
}

// Defaults of Options.
const (
	DefaultMaxBodyBytes  = 4 << 20
	DefaultMaxInFlight   = 4096
	DefaultIdleTimeout   = 60 * time.Second
	DefaultDrainAnnounce = 3 * time.Second
	DefaultDrainLimit    = 7 * time.Second
	DefaultMaxStale      = 20 * time.Second
	DefaultConfigWait    = 3 * time.Second
	DefaultRetryPercent  = 10
	DefaultRetryBurst    = 4
)

func (o Options) withDefaults() (Options, error) {
	if o.Dialect == nil || o.Group == nil || o.Node == "" {
		return o, errors.New("gateway: Node, Dialect and Group are needed")
	}
	setInt(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setInt(&o.MaxInFlight, DefaultMaxInFlight)
	setInt(&o.RetryPercent, DefaultRetryPercent)
	setInt(&o.RetryBurst, DefaultRetryBurst)
	setDuration(&o.IdleTimeout, DefaultIdleTimeout)
	setDuration(&o.DrainAnnounce, DefaultDrainAnnounce)
	setDuration(&o.DrainLimit, DefaultDrainLimit)
	setDuration(&o.MaxStale, DefaultMaxStale)
	setDuration(&o.ConfigWait, DefaultConfigWait)
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o, nil
}

func setInt(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

func setDuration(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}
