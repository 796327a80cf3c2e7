// Package routing defines the operator's routing configuration: which requests are served,
// by which services and within which limits. A configuration is validated as a whole and
// immutable afterwards.
package routing

import (
	"time"
)

// Kind states whether a request may be repeated.
type Kind int

// Kinds of requests.
const (
	Safe   Kind = iota + 1 // may run more than once
	Unsafe                 // may run at most once
	Stream                 // a stream of events, repeatable only if Route.Resumable
)

// Config is a complete routing configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequiresKey is set if requests need the key of an organisation, unless their route allows
	// anonymous ones.
	RequiresKey   bool
	Organisations []Organisation
}

// Route selects requests by host and path prefix and defines how they are served.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Resumable      bool              // a broken stream may resume at another upstream after its last event
	Timeout        time.Duration     // upper bound of a request's deadline
	LatencyTarget  time.Duration     // latency objective, of a stream for its first event
	EventGapTarget time.Duration     // objective for the longest pause between events of a stream
	Priority       int               // 0 is the most urgent
	AllowAnonymous bool              // requests without a key are served
	MaxAttempts    int               // attempts that may be sent for one request; 0 counts as 1
	Split          []WeightedService // services that requests are spread over
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// WeightedService is the share of a route's requests that one service gets.
type WeightedService struct {
	Service string
	Weight  int // relative to the sum over the route
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // to one upstream, from all its clients together
	Engine         *Engine // nil for a plain service
}

// Engine describes the runners of a service.
type Engine struct {
	Slots               int // requests that a runner runs in one batch
	KVCacheTokens       int // capacity of a runner's KV cache, shared by running requests and cached prompts
	Models              []Model
	WeightMemoryMB      float64 // accelerator memory of a runner for weights and adapters
	AdapterSlots        int     // adapters that a runner holds at once
	StoreLoadsPerSecond float64 // loads from the weight store that may start per second, over all runners
}

// Model is a model that runners can load.
type Model struct {
	Name           string
	WeightsMB      float64
	StoreLoadTime  time.Duration // to load from the weight store
	DiskLoadTime   time.Duration // to load from the runner's disk
	MemoryLoadTime time.Duration // to load from the memory of the runner's VM
	AdapterCount   int           // number of adapters of the model
	AdapterPrefix  string        // the adapters are named by the prefix and a number from 1 to AdapterCount
	AdapterMB      float64
}

// Limits bounds callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// FindService returns the service with a name, nil if there is none.
func (c *Config) FindService(service string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == service {
			return &c.Services[i]
		}
	}
	return nil
}
