// Package placement decides which runner loads or unloads which model or adapter. It
// is a pure function from a snapshot to a plan; the state machine checks each order of
// the plan again when it commits it.
package placement

import (
	"time"

	"gentiankeel/internal/wire"
)

// Input is the snapshot that a plan is made from. Slices are sorted by their keys.
type Input struct {
	Now       time.Duration // monotonic scheduler time
	WallClock time.Time     // UTC, for warm windows
	Cell      string
	Spec      *wire.Spec
	Runners   []Runner
	Demand    []Demand
	// Bursts by model, as a Learner knows them. They take the place of Demand.Interval;
	// nil: Demand.Interval counts from LastUsed.
	Bursts   map[string]Burst
	Budget   Budget
	Settings Settings
}

// Runner is one runner with all that holds its memory.
type Runner struct {
	ID          string
	Incarnation uint64
	Zone        string
	MemoryMiB   uint64
	Slots       int
	Leaving     bool
	Suspect     bool // no recent heartbeat: no new orders, nothing is moved yet
	Held        []Held
	Checkpoints map[CheckpointKey]wire.Tier // nearest tier; missing means remote
}

// CheckpointKey names a version of a model.
type CheckpointKey struct {
	Model   string
	Version string
}

// Subject names a model, or an adapter of a model.
type Subject struct {
	Model   string
	Adapter string // empty for a model
}

// String returns the model, or model:adapter.
func (s Subject) String() string {
	if s.Adapter == "" {
		return s.Model
	}
	return s.Model + ":" + s.Adapter
}

// HeldState is where a held model or adapter stands.
type HeldState int

// The states of a held model or adapter. Each holds its memory and its slot.
const (
	Loading   HeldState = iota + 1 // ordered, or being loaded
	Loaded                         // settled
	Unloading                      // ordered to go, not yet seen gone
	Unsettled                      // outcome unknown until the runner reports
)

// Held is one model replica or adapter that counts against a runner.
type Held struct {
	OrderID   string
	Model     string
	Version   string
	Adapter   string // empty for a model
	MemoryMiB uint64
	State     HeldState
	Running   int           // attempts running on it; a model's include those of its adapters
	Since     time.Duration // when it was settled as loaded
	LastUsed  time.Duration
	RoomFor   Subject // what an unload makes room for
}

// Demand is what callers want of one model or adapter. Each ask is counted once: one
// that names an adapter counts for the adapter's record only.
type Demand struct {
	Model    string
	Adapter  string
	Waiting  int
	Running  int
	Oldest   time.Duration
	Deadline time.Duration
	Class    wire.Class
	LastUsed time.Duration
	Rate     float64       // asks a second, decayed
	Interval time.Duration // learnt time between bursts; 0: unknown
}

// Burst is what is known of a model's bursts.
type Burst struct {
	Start    time.Duration // of the last burst
	Interval time.Duration // between the starts of bursts; 0: not regular
	Spread   time.Duration // by which regular intervals have differed from Interval
}

// Budget is what the weight store and the runners can take now.
type Budget struct {
	StoreStarts     int // loads that may start now under the store's rate
	StoreInFlight   int // loads from the store in flight
	StoreMax        int // loads from the store at once at full speed
	AdapterInFlight int // adapter loads in flight across all runners
	AdapterMax      int
}

// Settings are the policy's parameters.
type Settings struct {
	RequestsPerReplica int // waiting and running requests that one replica serves
	LoadCost           map[wire.Tier]time.Duration
	AdapterCost        time.Duration // of one adapter load
	UnloadCost         time.Duration
	DrainCost          time.Duration // of waiting until running attempts have ended
	MinResident        time.Duration // shortest stay before eviction
	// SuspectPatience is how long a request waits for a suspect runner's replica
	// before another is loaded, if the applied file allows one more.
	SuspectPatience time.Duration
}

// DefaultSettings fit the sizes of today's platform.
func DefaultSettings() Settings {
	return Settings{
		RequestsPerReplica: 8,
		LoadCost: map[wire.Tier]time.Duration{
			wire.Tier_TIER_MEMORY: 300 * time.Millisecond,
			wire.Tier_TIER_DISK:   1500 * time.Millisecond,
			wire.Tier_TIER_REMOTE: 4 * time.Second,
		},
		AdapterCost:     8 * time.Millisecond,
		UnloadCost:      100 * time.Millisecond,
		DrainCost:       20 * time.Second,
		MinResident:     5 * time.Second,
		SuspectPatience: 2 * time.Second,
	}
}

// Plan is the ordered list of orders to commit, and why.
type Plan struct {
	Orders  []Order
	Drains  []Drain
	Reasons []Reason
}

// Drain marks a held model or adapter that shall go and still runs attempts: it gets
// no more of them, and a later plan unloads it when the last has ended. No planned
// unload cuts a request.
type Drain struct {
	Runner  string
	Model   string
	Version string
	Adapter string
	OrderID string
	Reason  string
}

// Order is one decided change. Unloads that make room come before the loads that
// need it; a load that still waits for room is not part of the plan.
type Order struct {
	Kind      wire.OrderKind
	Runner    string
	Model     string
	Version   string
	Adapter   string
	MemoryMiB uint64
	Tier      wire.Tier // source of a load
	Replaces  string    // order id of the held load that an unload ends
	RoomFor   Subject   // what an unload makes room for
	Reason    string
}

// Reason explains one replica slot of the applied file: where it is and why, or why
// it is missing.
type Reason struct {
	Model   string
	Adapter string
	Replica int    // 0-based slot of the applied file
	Runner  string // empty when missing
	Text    string
}
