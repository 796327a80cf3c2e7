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
	// ParseRequest reads what a request says of itself.
	ParseRequest(r *http.Request) RequestInfo
	// RequestHeader builds the header fields that an upstream gets.
	RequestHeader(in http.Header, f AttemptInfo) http.Header
	// IsResponseTo tells whether a response belongs to the request.
	IsResponseTo(req *http.Request, res *http.Response) bool
	// ParseResponse reads what a response says of itself.
	ParseResponse(res *http.Response) ResponseInfo
	// CopyResponseHeader copies the header fields of an upstream's response that callers get.
	CopyResponseHeader(dst, src http.Header)
	// EventID reads the position of one event of a stream; false where it carries none.
	EventID(raw []byte) (id uint64, ok bool)
	// DecodeConfig reads and checks a routing document.
	DecodeConfig(document []byte) (*routing.Config, error)
	// ReadyPath is the path of the readiness probe.
	ReadyPath() string
}

// RequestInfo is what a request says of itself.
type RequestInfo struct {
	ID              string
	Timeout         time.Duration // how long the caller waits; 0: not said
	Model           string
	Adapter         string
	PromptTokens    int          // tokens of the prompt
	MaxOutputTokens int          // most tokens of the answer
	PromptParts     []PromptPart // of the prompt, in order; the last one is the request's own
	LastEventID     uint64       // last event that the caller has of a stream that it resumes
	HasLastEventID  bool
}

// PromptPart is one part of a prompt, which other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// AttemptInfo is what an attempt tells its upstream.
type AttemptInfo struct {
	UpstreamID     string        // incarnation that shall run it
	Remaining      time.Duration // until the deadline
	Priority       int
	LastEventID    uint64 // last event that the caller has
	HasLastEventID bool
}

// ResponseInfo is what the head of a response says of itself.
type ResponseInfo struct {
	NotRun      bool // the upstream did not run the request and will not
	Misdirected bool // it is another incarnation, or does not hold the model
	Signed      bool // it carries the upstream's signature
}

// Options configure a Server; zero fields take the defaults.
type Options struct {
	InstanceID   string // node id and incarnation
	Listen       string // callers' address
	ReadyAddress string // address of the readiness probe
	Zone         string

	Dialect          Dialect
	Group            *ctlclient.Client
	DispatchSettings dispatch.Settings

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
	if o.Dialect == nil || o.Group == nil || o.InstanceID == "" {
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
