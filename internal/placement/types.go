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
	Budget    Budget
	Settings  Settings
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
	Running   int           // attempts running on it
	Since     time.Duration // when it was settled as loaded
	LastUsed  time.Duration
}

// Demand is what callers want of one model or adapter.
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
	RequestsPerReplica int // waiting requests that justify one more replica
	LoadCost           map[wire.Tier]time.Duration
	MinResident        time.Duration // shortest stay before eviction
}

// Plan is the ordered list of orders to commit, and why.
type Plan struct {
	Orders  []Order
	Reasons []Reason
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
