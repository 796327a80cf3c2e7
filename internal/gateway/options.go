// Package gateway serves callers' requests at an entry by a routing configuration: it finds
// a request's route, gets a slot of an upstream from the dispatch core, forwards the
// request and gives exactly one final response. A Dialect defines the wire format.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/httpserver"
	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/routing"
)

// Dialect translates between a wire format and the types of this package. It is stateless
// and safe for concurrent use.
type Dialect interface {
	// ParseRequest reads the metadata of a caller's request.
	ParseRequest(r *http.Request) RequestInfo
	// RequestHeader builds the header of an upstream request from the caller's.
	RequestHeader(in http.Header, info AttemptInfo) http.Header
	// IsResponseTo reports whether a response belongs to the request. isFirst is set if the
	// connection carried no request before, so that the response can't be that to an earlier one.
	IsResponseTo(req *http.Request, res *http.Response, isFirst bool) bool
	// ParseResponse reads the metadata of an upstream's response from its status and header.
	ParseResponse(res *http.Response) ResponseInfo
	// CopyResponseHeader copies the fields of an upstream's response header that callers get.
	CopyResponseHeader(dst, src http.Header)
	// IdentityRequest returns the request for the start of the process that serves an upstream of an engine.
	IdentityRequest(upstreamID, address string) *http.Request
	// ParseIdentity reads that start, in Unix ms, from the body of the response.
	ParseIdentity(body []byte) (bornUnixMs int64, err error)
	// EventID reads the id of an event of a stream; false if it has none.
	EventID(raw []byte) (id uint64, ok bool)
	// DecodeConfig parses and validates a routing document.
	DecodeConfig(document []byte) (*routing.Config, error)
	// ReadyPath returns the path of the readiness probe.
	ReadyPath() string
}

// RequestInfo is the metadata of a caller's request.
type RequestInfo struct {
	ID              string
	Timeout         time.Duration // the caller's timeout; 0: unknown
	Model           string
	Adapter         string
	PromptTokens    int          // length of the prompt in tokens
	MaxOutputTokens int          // bound on the length of the output in tokens
	PromptParts     []PromptPart // of the prompt, in order; only the last one is not shared
	LastEventID     uint64       // id of the last event that the caller has, if it resumes a stream
	HasLastEventID  bool
	Resumes         string // id of the request that began the stream which the caller resumes; empty: unknown
	Key             string // the caller's key, which must not be logged; empty if HasKey is set: malformed
	HasKey          bool   // the request has credentials of any form
	HasTokens       bool   // the request names its tokens, so that PromptTokens and MaxOutputTokens are known
	OutputHint      int    // the caller's estimate of the output in tokens, at most MaxOutputTokens if HasTokens is set; 0: none
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// AttemptInfo is the metadata that an attempt sends to its upstream.
type AttemptInfo struct {
	UpstreamID     string        // id of the incarnation that is to run it
	Remaining      time.Duration // time until the deadline
	Priority       int
	LastEventID    uint64 // id of the last event that the caller has
	HasLastEventID bool

	HasOrganisations bool   // the configuration has organisations, so that no key may be forwarded
	Organisation     string // name of the organisation whose key the request has; empty: none
}

// ResponseInfo is the metadata of an upstream's response.
type ResponseInfo struct {
	NotRun      bool // the upstream did not run the request and will not
	Misdirected bool // the upstream is another incarnation, or does not hold the model
	Signed      bool // the response carries the upstream's signature
	// Limit is what the response says about the upstream's limit; nil: nothing.
	Limit        *ratelimit.Statement
	InvalidLimit string // limit that the response names and that is ignored as invalid; empty: none
	// Readiness is what the response says about further requests.
	Readiness         dispatch.Readiness
	InvalidRetryAfter string // pause that the response asks for and that is ignored as invalid; empty: none
}

// Options configure a Server. InstanceID, Dialect and ControlClient are required; limits and
// durations that are zero or negative take the defaults; Registerer and Logger may be nil.
type Options struct {
	InstanceID   string // node id and incarnation
	Listen       string // address for callers
	ReadyAddress string // address of the readiness probe
	Zone         string // availability zone

	Dialect          Dialect
	ControlClient    *ctlclient.Client // client of the control group
	DispatchSettings dispatch.Settings

	MaxBodyBytes int
	MaxInFlight  int
	IdleTimeout  time.Duration // of a caller's connection between requests, unless the configuration names it
	// The limits of callers; zero ones take the defaults of httpserver.Options. The configuration may name
	// other ones for the header.
	MaxConnections int // of callers
	MaxReadyConns  int // of probes
	MaxHeaderBytes int
	MaxPipelined   int
	MaxUnsentBytes int // of one connection
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	WriteTimeout   time.Duration
	// MaxIdleUpstreams bounds the idle connections to upstreams; 0: the default of upclient.Options.
	MaxIdleUpstreams int
	// RelayAddress is the address at which other entries may connect to upstreams through this one; empty:
	// none. DialRelay opens a connection to an upstream through another entry; see detour.Options.
	RelayAddress string
	DialRelay    func(ctx context.Context, relay, addr string) (net.Conn, error)
	// UpstreamSource is the IP address from which connections to upstreams are made; empty: any.
	UpstreamSource string
	// Budget bounds what callers hold; nil: a default for each listener.
	Budget *httpserver.Budget
	// MemoryBytes is the memory of the process; 0: unknown.
	MemoryBytes int64
	// DrainAnnounce is how long a draining entry still accepts requests while the load
	// balancer notices that it is not ready. DrainLimit bounds the whole shutdown; requests
	// still in progress are then cut off.
	DrainAnnounce time.Duration
	DrainLimit    time.Duration
	// MaxStale is how long the entry serves without an update from a coordinator.
	MaxStale time.Duration
	// RefusalMaxStale is how old the last update may be when a request is refused because the
	// configuration lacks its route or model.
	RefusalMaxStale time.Duration
	// FailClosed refuses requests with a key once the last update is older than RevokeAfter, but no
	// earlier than contact counts as lost: a key may have been withdrawn since.
	FailClosed  bool
	RevokeAfter time.Duration
	// ConfigWait bounds a request's wait for a current configuration.
	ConfigWait time.Duration
	// RetryPercent and RetryBurst bound the retries of each service: retries per hundred
	// requests, and the limit on saved-up retries.
	RetryPercent int
	RetryBurst   int
	// RetrySlack bounds the saved-up retries of a service over all entries; nil: it does not.
	RetrySlack *float64

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
	// DefaultRefusalMaxStale is the silence after which an entry looks for another coordinator.
	DefaultRefusalMaxStale = streamTimeout
	DefaultConfigWait      = 3 * time.Second
	DefaultRetryPercent    = 10
	DefaultRetryBurst      = 4
)

// minRevokeAfter is the least age of the last update at which Options.FailClosed refuses requests. Between
// two updates of an undisturbed stream up to a third of it passes.
const minRevokeAfter = streamTimeout

func (o Options) withDefaults() (Options, error) {
	if o.Dialect == nil || o.ControlClient == nil || o.InstanceID == "" {
		return o, errors.New("gateway: an instance id, a dialect and a client of the control group are required")
	}
	setInt(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setInt(&o.MaxInFlight, DefaultMaxInFlight)
	setInt(&o.RetryPercent, DefaultRetryPercent)
	setInt(&o.RetryBurst, DefaultRetryBurst)
	setDuration(&o.IdleTimeout, DefaultIdleTimeout)
	setDuration(&o.DrainAnnounce, DefaultDrainAnnounce)
	setDuration(&o.DrainLimit, DefaultDrainLimit)
	setDuration(&o.MaxStale, DefaultMaxStale)
	setDuration(&o.RefusalMaxStale, DefaultRefusalMaxStale)
	setDuration(&o.ConfigWait, DefaultConfigWait)
	o.RevokeAfter = max(o.RevokeAfter, minRevokeAfter)
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o, nil
}

func setInt(v *int, defaultValue int) {
	if *v <= 0 {
		*v = defaultValue
	}
}

func setDuration(v *time.Duration, defaultValue time.Duration) {
	if *v <= 0 {
		*v = defaultValue
	}
}
