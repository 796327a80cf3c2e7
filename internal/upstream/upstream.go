// Package upstream holds the published protocol of upstreams: what they announce,
// the orders that they take and the state that they report, all as JSON over HTTP.
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

// Headers that an entry sets on a call and that the upstream's answer repeats.
const (
	HeaderAttempt  = "X-Attempt-Id"     // identity of the attempt; the answer must carry it
	HeaderFence    = "X-Fencing-Number" // fencing number of the grant
	HeaderPriority = "X-Priority"       // interactive, normal or batch
	HeaderDeadline = "X-Deadline-Ms"    // milliseconds left
	HeaderResume   = "X-Resume-From"    // tokens already received of a resumed stream
	HeaderNotRun   = "X-Not-Run"        // "true" on a refusal made before running
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

// Announcement is sent by an upstream at its start, on a change and as a heartbeat.
type Announcement struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"` // grows with every start of the upstream
	Sequence      uint64 `json:"sequence"`    // grows with every announcement of an incarnation
	Address       string `json:"address"`     // IP:port of its HTTP server
	Zone          string `json:"zone"`
	Cell          string `json:"cell"`
	Service       string `json:"service,omitempty"` // name of the plain service; empty for a runner
	ChecksFencing bool   `json:"checks_fencing"`
	MemoryMiB     uint64 `json:"memory_mib"`
	Slots         uint32 `json:"slots"` // requests run at once
	Leaving       bool   `json:"leaving"`
	State         State  `json:"state"`
	// Brief tells that State carries the load only: all else in it is as announced
	// under the sequence number Full. Whoever has missed that one reads the state.
	Brief bool   `json:"brief,omitempty"`
	Full  uint64 `json:"full,omitempty"`
	// CacheEvents of the prompt prefix cache; late, and gaps show in their numbers.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	Known       bool   `json:"known"` // false: announce the whole state
	NextAfterMs uint32 `json:"next_after_ms"`
}

// State is what an upstream holds, read from it.
type State struct {
	Incarnation uint64       `json:"incarnation"`
	Fence       uint64       `json:"fence"` // highest fencing number seen
	Held        []Held       `json:"held"`
	Checkpoints []Checkpoint `json:"checkpoints"`
	Orders      []OrderReply `json:"orders"` // recent orders with their outcomes
	Running     uint32       `json:"running"`
	Queued      uint32       `json:"queued"`
}

// Held is one model or adapter on the accelerator or on its way there.
type Held struct {
	Model     string `json:"model"`
	Version   string `json:"version"`
	Adapter   string `json:"adapter,omitempty"`
	MemoryMiB uint64 `json:"memory_mib"`
	Loading   bool   `json:"loading"`
	OrderID   string `json:"order_id"`
}

// Checkpoint tells where a model's weights lie nearest to an upstream.
type Checkpoint struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Tier    string `json:"tier"` // memory, disk or remote
}

// CacheEvent tells that a prompt prefix entered or left the cache.
type CacheEvent struct {
	Number  uint64 `json:"number"` // consecutive; a gap means lost events
	Prefix  string `json:"prefix"`
	Evicted bool   `json:"evicted"`
}

// OrderKind names what an order does.
type OrderKind string

// The kinds of order.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// Order asks an upstream to change what it holds. The same ID again is answered
// with the state of the first.
type Order struct {
	ID          string    `json:"id"`
	Kind        OrderKind `json:"kind"`
	Incarnation uint64    `json:"incarnation"`
	Fence       uint64    `json:"fence"`
	Model       string    `json:"model"`
	Version     string    `json:"version"` // version of the model, or of the adapter
	Adapter     string    `json:"adapter,omitempty"`
	MemoryMiB   uint64    `json:"memory_mib"`
}

// OrderState is where an order stands at the upstream.
type OrderState string

// The states of an order at an upstream.
const (
	OrderAccepted OrderState = "accepted"
	OrderDone     OrderState = "done"
	OrderFailed   OrderState = "failed"
	OrderFenced   OrderState = "fenced" // refused for an old fencing number or incarnation
)

// OrderReply answers an order.
type OrderReply struct {
	ID     string     `json:"id"`
	State  OrderState `json:"state"`
	Detail string     `json:"detail,omitempty"`
}

// CancelRequest stops a running attempt.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// ParseTier maps the protocol's tier names; an unknown name is TIER_REMOTE.
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
