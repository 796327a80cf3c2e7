// Package standin simulates the platform's upstreams: model runners and plain desk
// services. Tests run it in process, the demo as a separate process. Latencies are
// configurable and random choices derive from a seed. It counts protocol violations
// (memory overcommitted, a model loaded twice, a model unloaded under a request) and
// the runs of each call, so that tests can assert on them.
package standin

import (
	"log/slog"
	"os"
	"time"

	"gentiankeel/internal/upstream"
)

// Options configures one upstream. New replaces zero fields by defaults.
type Options struct {
	ID            string
	Listen        string // host:port; port 0 picks a free one
	Zone          string
	Cell          string
	Service       string   // name of the plain service; empty for a runner
	Entries       []string // host:port of the entries to announce to
	Incarnation   uint64   // 0: the wall clock in nanoseconds
	ChecksFencing bool
	MemoryMiB     uint64
	Slots         int // requests that run concurrently
	// MaxPerSecond is the number of requests a second that it announces to take; 0: any number.
	MaxPerSecond float64
	QueueMax     int // requests that wait for a slot; more are refused
	Seed         uint64

	Checkpoints []upstream.Checkpoint // initial tier of weights; missing means remote
	MemoryTier  int                   // number of unloaded models kept in host memory

	Latency  Latency
	Store    *WeightStore // shared by the runners of a platform
	Adapters *AdapterPool // shared by the runners of a platform

	// A request whose prompt contains CrashMarker calls Exit and stops the upstream.
	CrashMarker string
	Exit        func()
	Log         *slog.Logger
}

// Latency holds the simulated delays of an upstream.
type Latency struct {
	FirstToken    time.Duration // prefill of a prompt that is not cached
	CachedToken   time.Duration // prefill of a cached prompt
	TokenGap      time.Duration // between tokens with one running request
	GapPerRunning time.Duration // added to TokenGap for each further running request
	LoadMemory    time.Duration
	LoadDisk      time.Duration
	LoadRemote    time.Duration
	Unload        time.Duration
	Call          time.Duration // run time of a call of a plain service
	ReportLag     time.Duration // age of the load in reports
	Heartbeat     time.Duration // between announcements
	CacheLag      time.Duration // age of cache events when they are published
	CacheLoss     float64       // probability that a cache event is lost

	SlowEvery  time.Duration // mean time between slow phases; 0: none
	SlowFor    time.Duration // mean length of a slow phase
	SlowFactor float64       // multiplies delays during a slow phase
}

// DefaultLatency returns the latencies of a demo upstream.
func DefaultLatency() Latency {
	return Latency{
		FirstToken:    40 * time.Millisecond,
		CachedToken:   10 * time.Millisecond,
		TokenGap:      10 * time.Millisecond,
		GapPerRunning: time.Millisecond,
		LoadMemory:    300 * time.Millisecond,
		LoadDisk:      1500 * time.Millisecond,
		LoadRemote:    4 * time.Second,
		Unload:        100 * time.Millisecond,
		Call:          20 * time.Millisecond,
		ReportLag:     500 * time.Millisecond,
		Heartbeat:     time.Second,
		CacheLag:      2 * time.Second,
		CacheLoss:     0.1,
		SlowFactor:    8,
	}
}

// FastLatency returns latencies short enough for tests.
func FastLatency() Latency {
	return Latency{
		FirstToken:    2 * time.Millisecond,
		CachedToken:   time.Millisecond,
		TokenGap:      time.Millisecond,
		GapPerRunning: 100 * time.Microsecond,
		LoadMemory:    5 * time.Millisecond,
		LoadDisk:      20 * time.Millisecond,
		LoadRemote:    50 * time.Millisecond,
		Unload:        time.Millisecond,
		Call:          time.Millisecond,
		ReportLag:     20 * time.Millisecond,
		Heartbeat:     50 * time.Millisecond,
		CacheLag:      20 * time.Millisecond,
		SlowFactor:    8,
	}
}

const (
	defaultMemoryMiB   = 80 * 1024
	defaultSlots       = 8
	defaultQueueMax    = 64
	defaultMemoryTier  = 4
	defaultCrashMarker = "#crash#"
	crashExitCode      = 1
)

func (o Options) withDefaults() Options {
	if o.ID == "" {
		o.ID = "standin"
	}
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixNano())
	}
	if o.MemoryMiB == 0 && o.Service == "" {
		o.MemoryMiB = defaultMemoryMiB
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.QueueMax == 0 {
		o.QueueMax = defaultQueueMax
	}
	if o.MemoryTier == 0 {
		o.MemoryTier = defaultMemoryTier
	}
	if o.Latency == (Latency{}) {
		o.Latency = DefaultLatency()
	}
	if o.Store == nil {
		o.Store = NewWeightStore(DefaultStoreLoadsPerSecond, DefaultStoreConcurrency)
	}
	if o.Adapters == nil {
		o.Adapters = NewAdapterPool(DefaultAdapterConcurrency)
	}
	if o.CrashMarker == "" {
		o.CrashMarker = defaultCrashMarker
	}
	if o.Exit == nil {
		o.Exit = func() { os.Exit(crashExitCode) }
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}
