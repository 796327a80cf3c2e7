// Package upstream defines the published protocol of upstreams: their announcements, the
// orders that they accept and the state that they report, all as JSON over HTTP.
//
// A runner serves
//
//	POST /v1/completions, POST /v1/chat/completions   generation, JSON or SSE
//	POST /v1/orders                                   Order -> OrderReply
//	GET  /v1/state                                    State
//	POST /v1/cancel                                   CancelRequest
//
// A plain service serves its own paths. Both announce themselves with
// POST /v1/upstreams/announce at an entry.
package upstream

import "gentiankeel/internal/wire"

// Headers of calls to an upstream and of its responses.
const (
	HeaderAttempt  = "X-Attempt-Id"     // id of the attempt; the response must repeat it
	HeaderFence    = "X-Fencing-Number" // fencing number of the grant
	HeaderPriority = "X-Priority"       // interactive, normal or batch
	HeaderDeadline = "X-Deadline-Ms"    // remaining time in milliseconds
	HeaderResume   = "X-Resume-From"    // index of the first token to send, when a stream is resumed
	HeaderNotRun   = "X-Not-Run"        // in a response: "true" if the call was refused before it ran
)

// Paths of the upstream protocol.
const (
	PathAnnounce        = "/v1/upstreams/announce"
	PathOrders          = "/v1/orders"
	PathState           = "/v1/state"
	PathCancel          = "/v1/cancel"
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
)

// Announcement is sent by an upstream when it starts, when its state changes and as a
// heartbeat.
type Announcement struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"` // increases with every start of the upstream
	Sequence      uint64 `json:"sequence"`    // increases with every announcement of an incarnation
	Address       string `json:"address"`     // IP:port of its HTTP server
	Zone          string `json:"zone"`
	Cell          string `json:"cell"`
	Service       string `json:"service,omitempty"` // name of the plain service; empty for a runner
	ChecksFencing bool   `json:"checks_fencing"`    // whether it refuses old fencing numbers
	MemoryMiB     uint64 `json:"memory_mib"`        // total accelerator memory
	Slots         uint32 `json:"slots"`             // maximum number of concurrent requests
	Leaving       bool   `json:"leaving"`           // whether it is shutting down
	State         State  `json:"state"`
	// MaxPerSecond is the number of requests a second that it takes from all entries together, for
	// as long as it is announced; absent: any number. A negative one is ignored.
	MaxPerSecond *float64 `json:"max_per_second,omitempty"`
	// LoadOnly means that State carries the load only. The rest of the state is unchanged
	// since the last full announcement.
	LoadOnly bool `json:"brief,omitempty"`
	// FullSequence is the sequence number of the last full announcement. A receiver that did
	// not get that one must read the state from the upstream.
	FullSequence uint64 `json:"full,omitempty"`
	// CacheEvents are changes of the prompt prefix cache. They may arrive late, and lost
	// ones show as gaps in their numbers.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// AnnounceReply is the reply to an announcement.
type AnnounceReply struct {
	Known       bool   `json:"known"`         // false: the upstream must announce its whole state
	NextAfterMs uint32 `json:"next_after_ms"` // time until the next heartbeat
}

// State is the state that an upstream reports: what it holds, its orders and its load.
type State struct {
	Incarnation uint64       `json:"incarnation"`
	Fence       uint64       `json:"fence"` // highest fencing number seen
	Held        []HeldModel  `json:"held"`
	Checkpoints []Checkpoint `json:"checkpoints"`
	Orders      []OrderReply `json:"orders"`  // recent orders with their outcomes
	Running     uint32       `json:"running"` // running requests
	Queued      uint32       `json:"queued"`  // requests waiting at the upstream
}

// HeldModel is a model or adapter that is loaded or being loaded on the accelerator.
type HeldModel struct {
	Model     string `json:"model"`
	Version   string `json:"version"`
	Adapter   string `json:"adapter,omitempty"`
	MemoryMiB uint64 `json:"memory_mib"`
	Loading   bool   `json:"loading"`
	OrderID   string `json:"order_id"` // order that loaded it
}

// Checkpoint is the fastest storage tier from which an upstream can load a model's weights.
type Checkpoint struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Tier    string `json:"tier"` // memory, disk or remote
}

// CacheEvent reports that a prompt prefix was added to the cache or evicted from it.
type CacheEvent struct {
	Number  uint64 `json:"number"` // consecutive; a gap means lost events
	Prefix  string `json:"prefix"` // see PrefixKey
	Evicted bool   `json:"evicted"`
}

// OrderKind is the operation of an order.
type OrderKind string

// The kinds of order.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// Order is an instruction to a runner to load or unload a model or an adapter. It is
// idempotent by ID: the reply to a repeated order holds the present state of the first one.
type Order struct {
	ID          string    `json:"id"`
	Kind        OrderKind `json:"kind"`
	Incarnation uint64    `json:"incarnation"`
	Fence       uint64    `json:"fence"`
	Model       string    `json:"model"`
	Version     string    `json:"version"` // of the adapter if there is one, else of the model
	Adapter     string    `json:"adapter,omitempty"`
	MemoryMiB   uint64    `json:"memory_mib"`
}

// OrderState is the progress of an order at the upstream.
type OrderState string

// The states of an order at an upstream.
const (
	OrderAccepted OrderState = "accepted"
	OrderDone     OrderState = "done"
	OrderFailed   OrderState = "failed"
	OrderFenced   OrderState = "fenced" // refused for an old fencing number or incarnation
)

// OrderReply is the reply to an order, and the element for an order in State.
type OrderReply struct {
	ID     string     `json:"id"`
	State  OrderState `json:"state"`
	Detail string     `json:"detail,omitempty"`
}

// CancelRequest requests the cancellation of an attempt.
type CancelRequest struct {
	Attempt string `json:"attempt"` // id as in HeaderAttempt
}

// ParseTier maps a tier name of the protocol to its enum value; unknown names map to
// TIER_REMOTE.
func ParseTier(s string) wire.Tier {
	switch s {
	case "memory":
		return wire.Tier_TIER_MEMORY
	case "disk":
		return wire.Tier_TIER_DISK
	default:
		return wire.Tier_TIER_REMOTE
	}
}
