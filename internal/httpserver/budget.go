package httpserver

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// DefaultBudgetBytes is the budget of a process whose memory is not known.
const DefaultBudgetBytes = 512 << 20

const (
	// smallBytes is what a connection may hold of a request before it counts as large. Requests of
	// ordinary size stay below it.
	smallBytes = 64 << 10
	// reserveShare is the share of the budget that is kept for connections that hold little.
	reserveShare = 4
	// finishBytes is what the connections that are let finish their requests one after the other may
	// hold beyond the budget: two bodies of the default largest size.
	finishBytes = 2 * DefaultMaxBodyBytes
	// connWriteShare is the share of the budget that the unsent responses of one connection may hold;
	// minConnWriteBytes is its lower bound, several times an event of a stream.
	connWriteShare    = 16
	minConnWriteBytes = 512 << 10
	// readBytes is the size of the buffer for one read.
	readBytes = 64 << 10
)

const (
	// retryInterval is the pause between two passes over the connections that wait for room.
	retryInterval = 20 * time.Millisecond
	// favourAfter is how long no waiting connection could be read before one of them is let finish.
	favourAfter = 50 * time.Millisecond
	// favourAlways is how long it lasts until one is let finish although it takes the room of small
	// requests: all that hold memory may wait for each other.
	favourAlways = 2 * time.Second
	// stallTime is the time without a byte after which an unfinished request counts as stalled. Only
	// while others wait for room are stalled requests refused for it.
	stallTime = 500 * time.Millisecond
	// writeStallTime is the same for a caller that does not read its response.
	writeStallTime = 3 * time.Second
	// hitLogInterval is the least time between two log lines about the same limit.
	hitLogInterval = 10 * time.Second
)

// Limit is the name of a limit that a caller has met, as it stands in logs and metrics.
type Limit string

// The limits.
const (
	LimitMemory      Limit = "memory"       // bytes held by all callers together
	LimitConnections Limit = "connections"  // connections of a server
	LimitDescriptors Limit = "descriptors"  // the process could not open a descriptor
	LimitHeaderBytes Limit = "header_bytes" // size of a header
	LimitBodyBytes   Limit = "body_bytes"   // size of a body
	LimitHeaderTime  Limit = "header_time"  // time for a header
	LimitBodyTime    Limit = "body_time"    // time for a whole request
	LimitWriteBytes  Limit = "write_bytes"  // unsent bytes of one connection
	LimitWriteTime   Limit = "write_time"   // time in which a caller takes no byte of its response
	LimitPipelined   Limit = "pipelined"    // requests queued behind a running one
)

var allLimits = []Limit{LimitMemory, LimitConnections, LimitDescriptors, LimitHeaderBytes, LimitBodyBytes,
	LimitHeaderTime, LimitBodyTime, LimitWriteBytes, LimitWriteTime, LimitPipelined}

// Budget bounds the bytes that the callers of all servers of a process hold: unfinished and running
// requests, and unsent responses. Connections that would need more are not read until bytes are given
// back. It is safe for concurrent use.
type Budget struct {
	limit int64
	log   *slog.Logger
	hits  *prometheus.CounterVec
	used  atomic.Int64
	// favoured may finish its request although no room is left; nil: none.
	favoured atomic.Pointer[conn]
	waiting  atomic.Int64 // connections in queue, or in the pass over it
	signal   chan struct{}

	mu      sync.Mutex
	queue   []*conn // connections whose input waits to be read, in this order
	running bool    // the goroutine that reads them runs
	servers []*Server
	logged  map[Limit]*hitLog
}

type hitLog struct {
	at    time.Time
	count int
}

// NewBudget returns a budget of limit bytes; 0: DefaultBudgetBytes. reg and log may be nil.
func NewBudget(limit int64, reg prometheus.Registerer, log *slog.Logger) (*Budget, error) {
	if limit <= 0 {
		limit = DefaultBudgetBytes
	}
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	b := &Budget{limit: limit, log: log.With("part", "http"), signal: make(chan struct{}, 1), logged: map[Limit]*hitLog{},
		hits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiankeel_http_limit_hits_total", Help: "Callers that met a limit, by limit.",
		}, []string{"limit"})}
	held := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gentiankeel_http_held_bytes", Help: "Bytes of requests and unsent answers that all callers hold.",
	}, func() float64 { return float64(b.used.Load()) })
	for _, l := range allLimits {
		b.hits.WithLabelValues(string(l))
	}
	if reg != nil {
		if err := errors.Wrap(reg.Register(b.hits), "registering the metrics of the HTTP servers"); err != nil {
			return nil, err
		}
		if err := errors.Wrap(reg.Register(held), "registering the metrics of the HTTP servers"); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// add charges n bytes, or gives them back if n is negative.
func (b *Budget) add(n int64) {
	if n == 0 {
		return
	}
	b.used.Add(n)
	if n < 0 && b.waiting.Load() > 0 {
		b.wake()
	}
}

func (b *Budget) wake() {
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// room returns how many bytes a connection that holds held bytes may still be charged.
func (b *Budget) room(held int64) int64 {
	limit := b.limit
	if held > smallBytes {
		limit -= b.limit / reserveShare
	}
	return limit - b.used.Load()
}

// writeLimit returns the bound on the unsent bytes of one connection.
func (b *Budget) writeLimit(maxWriteBuffer int) int64 {
	return min(int64(maxWriteBuffer), max(b.limit/connWriteShare, minConnWriteBytes))
}

// hit counts a caller that met a limit. It logs at most one line per limit and hitLogInterval.
func (b *Budget) hit(l Limit) {
	b.hits.WithLabelValues(string(l)).Inc()
	b.mu.Lock()
	h := b.logged[l]
	if h == nil {
		h = &hitLog{}
		b.logged[l] = h
	}
	h.count++
	now := time.Now()
	if now.Sub(h.at) < hitLogInterval {
		b.mu.Unlock()
		return
	}
	count := h.count
	h.at, h.count = now, 0
	b.mu.Unlock()
	b.log.Warn("Callers met a limit.", "limit", string(l), "count", count, "held_bytes", b.used.Load(), "budget_bytes", b.limit)
}

func (b *Budget) register(s *Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers = append(b.servers, s)
}

// enqueue has the input of a connection read when there is room for it. The connection must be
// marked as paused, so that it is in the queue only once.
func (b *Budget) enqueue(c *conn) {
	b.waiting.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, c)
	if !b.running {
		b.running = true
		go b.readQueued()
	}
	b.wake()
}

// readQueued reads the connections in the queue, each a bounded part at a time, until none is left.
func (b *Budget) readQueued() {
	buf := make([]byte, readBytes)
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	lastProgress := time.Now() // of a connection that waits for room, or when none did
	var relieved time.Time
	for {
		b.mu.Lock()
		batch := b.queue
		b.queue = nil
		if len(batch) == 0 {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		anyRead, progress := b.readBatch(batch, buf)
		now := time.Now()
		if progress {
			lastProgress = now
		} else if now.Sub(relieved) >= retryInterval {
			b.relieve(now.Sub(lastProgress))
			relieved = now
		}
		if anyRead {
			continue
		}
		timer.Reset(retryInterval)
		select {
		case <-b.signal:
		case <-timer.C:
		}
	}
}

// readBatch reads connections from the queue. It reports whether any was read, and whether one of those
// that wait for room was, or none waits for it: others, such as those that pipeline small requests, may be
// read at any time while no large request is.
func (b *Budget) readBatch(batch []*conn, buf []byte) (anyRead, progress bool) {
	progress = true
	wasRead := false
	for _, c := range batch {
		b.waiting.Add(-1)
		waited := c.waitsForRoom
		c.waitsForRoom = !c.resume(buf)
		switch {
		case c.waitsForRoom:
			progress = false
		case waited:
			anyRead, wasRead = true, true
		default:
			anyRead = true
		}
	}
	return anyRead, progress || wasRead
}

// relieve makes room after no waiting connection could be read for some time. First one of them may
// finish its request beyond the budget. Then the connection that holds most for longest without
// progress is refused.
func (b *Budget) relieve(stuck time.Duration) {
	if stuck < favourAfter {
		return
	}
	if f := b.favoured.Load(); f == nil || f.isStalled() {
		b.favoured.Store(b.firstWaiting(stuck))
	}
	if stuck < stallTime {
		return
	}
	if c := b.worst(); c != nil {
		b.hit(LimitMemory)
		c.evict()
	}
}

// firstWaiting returns the first connection in the queue that waits for room, nil if none does. One more
// body beyond the share of large requests must leave most of the reserve to small ones, unless all have
// been stuck for so long that they wait for each other.
func (b *Budget) firstWaiting(stuck time.Duration) *conn {
	used := b.used.Load()
	if used > b.limit-b.limit/reserveShare+finishBytes-DefaultMaxBodyBytes && stuck < favourAlways || used > b.limit+finishBytes {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.queue {
		if c.waitsForRoom {
			return c
		}
	}
	return nil
}

// worst returns the stalled connection with the largest product of bytes held and time without
// progress; nil if none is stalled.
func (b *Budget) worst() *conn {
	b.mu.Lock()
	servers := b.servers
	b.mu.Unlock()
	var out *conn
	most := int64(0)
	now := time.Now()
	for _, s := range servers {
		s.conns.Range(func(_, v any) bool {
			c := v.(*conn)
			if score := c.stallScore(now); score > most {
				out, most = c, score
			}
			return true
		})
	}
	return out
}
