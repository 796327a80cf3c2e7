// Package standin is a small stand-in for the platform's upstreams: model runners and
// plain desk services. Tests start it inside their own process, the demo runs it as a
// process. All latencies come from settings and all chance from a seed. It counts
// what must never happen (memory overcommitted, a model loaded twice, a call run
// twice), so that a test can assert that the counts stay zero.
package standin

import (
	"log/slog"
	"os"
	"time"

	"gentiankeel/internal/upstream"
)

// Options describe one upstream. New fills zero fields with defaults.
type Options struct {
	ID            string
	Listen        string // host:port; port 0 takes a free one
	Zone          string
	Cell          string
	Service       string   // name of the plain service; empty for a runner
	Entries       []string // host:port of the entries that take announcements
	Incarnation   uint64   // 0: taken from the wall clock
	ChecksFencing bool
	MemoryMiB     uint64
	Slots         int // requests run at once
	QueueMax      int // requests queued over the slots before a refusal
	Seed          uint64

	Checkpoints []upstream.Checkpoint // where weights lie at the start; missing means remote
	MemoryTier  int                   // unloaded models whose weights stay in host memory

	Latency  Latency
	Store    *WeightStore // shared by the runners of a platform
	Adapters *AdapterPool // shared by the runners of a platform

	// A request whose prompt holds CrashMarker ends the upstream through Exit.
	CrashMarker string
	Exit        func()
	Log         *slog.Logger
}

// Latency holds every delay of an upstream.
type Latency struct {
	FirstToken    time.Duration // prefill of a prompt that is not cached
	CachedToken   time.Duration // prefill of a cached prompt
	TokenGap      time.Duration // between tokens when one request runs
	GapPerRunning time.Duration // added to the gap for every further running request
	LoadMemory    time.Duration
	LoadDisk      time.Duration
	LoadRemote    time.Duration
	Unload        time.Duration
	Call          time.Duration // run time of a plain service's call
	ReportLag     time.Duration // age of the reported load
	Heartbeat     time.Duration // between announcements
	CacheLag      time.Duration // age of cache events when they are published
	CacheLoss     float64       // share of cache events that are lost

	SlowEvery  time.Duration // mean time between slow phases; 0: none
	SlowFor    time.Duration // mean length of a slow phase
	SlowFactor float64       // gaps are this many times longer in it
}

// DefaultLatency is the latency of a demo upstream.
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

// FastLatency is short enough for tests.
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
	defaultMemoryMiB  = 80 * 1024
	defaultSlots      = 8
	defaultQueueMax   = 64
	defaultMemoryTier = 4
	defaultMarker     = "#crash#"
	exitCodeCrash     = 1
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
		o.Store = NewWeightStore(DefaultStoreRate, DefaultStoreAtOnce)
	}
	if o.Adapters == nil {
		o.Adapters = NewAdapterPool(DefaultAdaptersAtOnce)
	}
	if o.CrashMarker == "" {
		o.CrashMarker = defaultMarker
	}
	if o.Exit == nil {
		o.Exit = func() { os.Exit(exitCodeCrash) }
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}
