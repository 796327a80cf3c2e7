package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gentiankeel/internal/pause"
)

// Default limits, those of the current platform.
const (
	DefaultStoreLoadsPerSecond = 3.0 // loads started per second
	DefaultStoreConcurrency    = 4   // concurrent loads at full speed
	DefaultAdapterConcurrency  = 32  // concurrent adapter loads at full speed
)

const (
	minAdapterLoadTime = 5 * time.Millisecond
	maxAdapterLoadTime = 10 * time.Millisecond
	transferStep       = 10 * time.Millisecond // interval at which the speed of a transfer is recomputed
)

// WeightStore simulates the rate-limited store that remote loads read from. It is safe
// for concurrent use by several upstreams.
type WeightStore struct {
	limiter     *rate.Limiter
	concurrency int

	mu       sync.Mutex
	inFlight int
	slowdown float64
}

// NewWeightStore returns a store that starts perSecond loads per second, in bursts of at
// most concurrency. Up to concurrency loads run at full speed; more share that bandwidth.
func NewWeightStore(perSecond float64, concurrency int) *WeightStore {
	return &WeightStore{
		limiter:     rate.NewLimiter(rate.Limit(perSecond), concurrency),
		concurrency: concurrency,
		slowdown:    1,
	}
}

// SetSlowdown makes transfers factor times as long from now on.
func (s *WeightStore) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Load blocks for the time of a transfer that takes d at full speed.
func (s *WeightStore) Load(ctx context.Context, d time.Duration) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	s.addInFlight(1)
	defer s.addInFlight(-1)
	for remaining := d; remaining > 0; {
		step := min(transferStep, remaining)
		if err := pause.For(ctx, step); err != nil {
			return err
		}
		remaining -= time.Duration(float64(step) * s.transferSpeed())
	}
	return nil
}

func (s *WeightStore) addInFlight(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += n
}

func (s *WeightStore) transferSpeed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := 1.0
	if s.inFlight > s.concurrency {
		share = float64(s.concurrency) / float64(s.inFlight)
	}
	return share / s.slowdown
}

// AdapterPool simulates adapter loads, whose total rate is bounded over all runners.
type AdapterPool struct {
	concurrency int

	mu          sync.Mutex
	inFlight    int
	maxInFlight int
}

// NewAdapterPool returns a pool that runs up to concurrency loads at full speed.
func NewAdapterPool(concurrency int) *AdapterPool { return &AdapterPool{concurrency: concurrency} }

// Load blocks for the time of one adapter load. With more loads in flight than the
// pool's concurrency it takes proportionally longer.
func (p *AdapterPool) Load(ctx context.Context, rng *rand.Rand) error {
	d := minAdapterLoadTime + time.Duration(rng.Int64N(int64(maxAdapterLoadTime-minAdapterLoadTime)))
	n := p.addInFlight(1)
	defer p.addInFlight(-1)
	if n > p.concurrency {
		d = d * time.Duration(n) / time.Duration(p.concurrency)
	}
	return pause.For(ctx, d)
}

// MaxInFlight returns the highest number of concurrent adapter loads so far.
func (p *AdapterPool) MaxInFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxInFlight
}

func (p *AdapterPool) addInFlight(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight += n
	p.maxInFlight = max(p.maxInFlight, p.inFlight)
	return p.inFlight
}
