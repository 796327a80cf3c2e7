// Package placement plans which runner loads or unloads which model or adapter.
// Planning is a pure function of a snapshot. The state machine validates each order of
// a plan again when it is committed.
package placement

import (
	"time"

	"gentiankeel/internal/wire"
)

// Input is the snapshot that a plan is computed from. Slices are sorted by their keys.
type Input struct {
	Now       time.Duration // monotonic time of the scheduler
	WallClock time.Time     // UTC; decides which warm windows are open
	Cell      string
	Spec      *wire.Spec
	Runners   []Runner
	Demand    []Demand
	// Bursts are the burst patterns by model, learned from the demand. When set, they
	// replace the intervals given in the demand; nil means that those intervals are
	// used and count from the last use.
	Bursts   map[string]BurstPattern
	Budget   Budget
	Settings Settings
}

// Runner is one runner with everything that occupies its memory.
type Runner struct {
	ID          string
	Incarnation uint64
	Zone        string
	MemoryMiB   uint64
	Slots       int
	Leaving     bool // draining: gets no new loads
	Suspect     bool // no recent heartbeat: gets no orders, and what it holds still counts
	Allocations []Allocation
	Checkpoints map[CheckpointKey]wire.Tier // nearest tier of the weights; remote where missing
}

// CheckpointKey identifies a version of a model.
type CheckpointKey struct {
	Model   string
	Version string
}

// Subject identifies a model, or an adapter of a model.
type Subject struct {
	Model   string
	Adapter string // empty for a model
}

// String returns "model" or "model:adapter".
func (s Subject) String() string {
	if s.Adapter == "" {
		return s.Model
	}
	return s.Model + ":" + s.Adapter
}

// AllocationState is the state of a model replica or adapter on a runner.
type AllocationState int

// The states of a replica or adapter. In each of them it occupies its memory and counts
// as a replica.
const (
	Loading        AllocationState = iota + 1 // a load is ordered or running
	Loaded                                    // the load has completed
	Unloading                                 // an unload is ordered and not yet confirmed
	OutcomeUnknown                            // the outcome of an order is unknown until the runner reports
)

// Allocation is one model replica or adapter that occupies memory of a runner.
type Allocation struct {
	OrderID    string
	Model      string
	Version    string
	Adapter    string // empty for a model
	MemoryMiB  uint64
	State      AllocationState
	Running    int           // attempts running on it; a model's include those of its adapters
	LoadedAt   time.Duration // when it became Loaded
	LastUsed   time.Duration // when a request last used it
	EvictedFor Subject       // what it is evicted for; empty unless it is
}

// Demand is the demand for one model or adapter. Each request is counted once: one that
// names an adapter counts only for the adapter.
type Demand struct {
	Model         string
	Adapter       string
	Waiting       int
	Running       int
	Oldest        time.Duration // arrival of the oldest waiting request
	Deadline      time.Duration // earliest deadline of the waiting requests
	Class         wire.Class    // most urgent class of the waiting requests
	LastUsed      time.Duration
	Rate          float64       // requests a second, decayed
	BurstInterval time.Duration // learned time between bursts; 0: unknown
}

// BurstPattern describes when the bursts of requests for a model come.
type BurstPattern struct {
	LastStart time.Duration // start of the last burst
	Interval  time.Duration // between the starts of two bursts
	Deviation time.Duration // largest deviation of the regular intervals from Interval
}

// Budget is the load capacity that the weight store and the runners have left.
type Budget struct {
	StoreStarts     int // loads that may start now under the store's rate limit
	StoreInFlight   int // loads from the store that are running
	StoreMax        int // concurrent loads that the store serves at full speed
	AdapterInFlight int // adapter loads running on all runners
	AdapterMax      int // concurrent adapter loads allowed on all runners
}

// Settings are the parameters of the planner.
type Settings struct {
	RequestsPerReplica int                         // waiting and running requests that one replica serves
	LoadCost           map[wire.Tier]time.Duration // time of one load by the tier of the weights
	AdapterCost        time.Duration               // time of one adapter load
	UnloadCost         time.Duration               // time of one unload
	DrainCost          time.Duration               // time until running attempts have ended
	MinResidence       time.Duration               // shortest time between a load and an eviction
	// SuspectGrace is how long a request waits for the replica of a suspect runner
	// before another replica is loaded, if the applied file allows one more.
	SuspectGrace time.Duration
}

// DefaultSettings returns the settings that production uses.
func DefaultSettings() Settings {
	return Settings{
		RequestsPerReplica: 8,
		LoadCost: map[wire.Tier]time.Duration{
			wire.Tier_TIER_MEMORY: 300 * time.Millisecond,
			wire.Tier_TIER_DISK:   1500 * time.Millisecond,
			wire.Tier_TIER_REMOTE: 4 * time.Second,
		},
		AdapterCost:  8 * time.Millisecond,
		UnloadCost:   100 * time.Millisecond,
		DrainCost:    20 * time.Second,
		MinResidence: 5 * time.Second,
		SuspectGrace: 2 * time.Second,
	}
}

// Plan holds the orders to commit, in this order, and the reason for each decision.
type Plan struct {
	Orders  []Order
	Drains  []Drain
	Reasons []Reason
}

// Drain marks a replica or adapter that is to be unloaded but still runs attempts. It
// gets no new ones, and a later plan unloads it once the last has ended, so that no
// planned unload interrupts a request.
type Drain struct {
	Runner  string
	Model   string
	Version string
	Adapter string
	OrderID string
	Reason  string
}

// Order is one change of what a runner holds. A plan's unloads precede the loads that
// need their memory. A load that still waits for memory is not part of the plan.
type Order struct {
	Kind        wire.OrderKind
	Runner      string
	Model       string
	Version     string
	Adapter     string
	MemoryMiB   uint64
	Tier        wire.Tier // where the weights are loaded from
	LoadOrderID string    // for an unload: order id of the load that it ends
	EvictedFor  Subject   // for an unload: what it makes room for
	Reason      string
}

// Reason explains where one replica of the applied file is and why, or why it is
// missing. Each adapter that a runner holds or that requests wait for has reasons too.
type Reason struct {
	Model   string
	Adapter string
	Replica int    // 0-based slot of the applied file
	Runner  string // empty when the replica is missing
	Text    string
}
