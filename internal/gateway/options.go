// Package gateway serves callers' requests at an entry by a routing configuration: it finds
// a request's route, gets a slot of an upstream from the dispatch core, forwards the
// request and gives exactly one final response. A Dialect defines the wire format.
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

// Dialect translates between a wire format and the types of this package. It is stateless
// and safe for concurrent use.
type Dialect interface {
	// Parse reads the metadata of a caller's request.
	Parse(r *http.Request) Meta
	// Forward builds the header of an upstream request from the caller's.
	Forward(in http.Header, f Forward) http.Header
	// Answers reports whether a response belongs to the request.
	Answers(req *http.Request, res *http.Response) bool
	// Head reads the metadata of an upstream's response from its status and header.
	Head(res *http.Response) Head
	// Backward copies the fields of an upstream's response header that callers get.
	Backward(dst, src http.Header)
	// Event reads the id of an event of a stream; false if it has none.
	Event(raw []byte) (id uint64, ok bool)
	// Decode parses and validates a routing document.
	Decode(document []byte) (*routing.Config, error)
	// ReadyPath returns the path of the readiness probe.
	ReadyPath() string
}

// Meta is the metadata of a caller's request.
type Meta struct {
	ID       string
	Wait     time.Duration // the caller's timeout; 0: unknown
	Model    string
	Adapter  string
	Prompt   int    // length of the prompt
	Output   int    // bound on the length of the output
	Parts    []Part // of the prompt, in order; only the last one is not shared
	After    uint64 // id of the last event that the caller has, if it resumes a stream
	HasAfter bool
}

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Forward is the metadata that an attempt sends to its upstream.
type Forward struct {
	Upstream string        // id of the incarnation that is to run it
	Left     time.Duration // time until the deadline
	Priority int
	After    uint64 // id of the last event that the caller has
	HasAfter bool
}

// Head is the metadata of an upstream's response.
type Head struct {
	NotRun  bool // the upstream did not run the request and will not
	NotHeld bool // the upstream is another incarnation, or does not hold the model
	Signed  bool // the response carries the upstream's signature
}

// Options configure a Server; zero fields take the defaults.
type Options struct {
	Node   string // node id and incarnation
	Listen string // address for callers
	Ready  string // address of the readiness probe
	Zone   string // availability zone

	Dialect  Dialect
	Group    *ctlclient.Client
	Dispatch dispatch.Settings

	MaxBodyBytes int
	MaxInFlight  int
	IdleTimeout  time.Duration // of a caller's connection between requests
	// DrainAnnounce is how long a draining entry still accepts requests while the load
	// balancer notices that it is not ready. DrainLimit bounds the whole shutdown; requests
	// still in progress are then cut off.
	DrainAnnounce time.Duration
	DrainLimit    time.Duration
	// MaxStale is how long the entry serves without an update from a coordinator.
	MaxStale time.Duration
	// ConfigWait bounds a request's wait for a current configuration.
	ConfigWait time.Duration
	// RetryPercent and RetryBurst bound retries, per service: retries per hundred requests,
	// and the retries that may be saved up.
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
