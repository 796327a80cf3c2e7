// Package routing holds the operator's routing configuration: which requests exist,
// which services run them and within which limits. A configuration is checked as a
// whole and never changed afterwards.
package routing

import (
	"time"
)

// Kind tells what may be repeated of a request.
type Kind int

// The kinds of request.
const (
	Safe   Kind = iota + 1 // may run more than once
	Unsafe                 // may run at most once
	Stream                 // a stream of events; repeatable only where Route.Resumable
)

// Config is one whole configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route selects requests by host and path and says how they are served.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool          // a stream may go on at another upstream after its last event
	Timeout     time.Duration // longest time that a caller is kept waiting
	Target      time.Duration // latency objective; of a stream up to its first event
	TargetGap   time.Duration // longest pause between events that is still on time
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // upstreams that one request may be sent to
	Split       []Share
}

// Idempotent tells whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Share is a weighted service of a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of upstreams that run the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // of one upstream, from all callers together
	Engine         *Engine // nil for a plain service
}

// Engine describes the runners of a service.
type Engine struct {
	Slots        int // requests that one runner batches
	KVTokens     int // tokens that running requests and cached prompts share
	Models       []Model
	WeightsMB    float64 // accelerator memory for weights and adapters of one runner
	AdapterSlots int
	LoadsPerS    float64 // loads from the weight store that may start a second, over all runners
}

// Model is one model that runners can be ordered to load.
type Model struct {
	Name      string
	WeightsMB float64
	LoadTime  time.Duration // from the weight store
	DiskTime  time.Duration // from the runner's disk
	WarmTime  time.Duration // from the runner's memory
	Adapters  int
	AdapterMB float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Find returns a service by its name.
func (c *Config) Find(service string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == service {
			return &c.Services[i]
		}
	}
	return nil
}
