package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gentiankeel/internal/pause"
)

// Limits of today's platform.
const (
	DefaultStoreRate      = 3.0 // loads started a second
	DefaultStoreAtOnce    = 4   // loads at once at full speed
	DefaultAdaptersAtOnce = 32  // adapter loads in flight at full speed
)

const (
	adapterMin = 5 * time.Millisecond
	adapterMax = 10 * time.Millisecond
	storeStep  = 10 * time.Millisecond // resolution of a transfer's speed
)

// WeightStore is the rate-limited store that remote loads read from. It is safe for
// use by several upstreams.
type WeightStore struct {
	limiter *rate.Limiter
	atOnce  int

	mu       sync.Mutex
	inFlight int
	slowdown float64
}

// NewWeightStore returns a store that starts perSecond loads a second and carries
// atOnce of them at full speed; more share that speed.
func NewWeightStore(perSecond float64, atOnce int) *WeightStore {
	return &WeightStore{
		limiter:  rate.NewLimiter(rate.Limit(perSecond), atOnce),
		atOnce:   atOnce,
		slowdown: 1,
	}
}

// SetSlowdown makes every transfer take factor times as long from now on.
func (s *WeightStore) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Load takes as long as a transfer that needs d at full speed.
func (s *WeightStore) Load(ctx context.Context, d time.Duration) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	s.add(1)
	defer s.add(-1)
	for left := d; left > 0; {
		step := min(storeStep, left)
		if err := pause.For(ctx, step); err != nil {
			return err
		}
		left -= time.Duration(float64(step) * s.speed())
	}
	return nil
}

func (s *WeightStore) add(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += n
}

func (s *WeightStore) speed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := 1.0
	if s.inFlight > s.atOnce {
		share = float64(s.atOnce) / float64(s.inFlight)
	}
	return share / s.slowdown
}

// AdapterPool bounds the speed of adapter loads over all runners.
type AdapterPool struct {
	atOnce int

	mu       sync.Mutex
	inFlight int
	peak     int
}

// NewAdapterPool returns a pool that loads atOnce adapters at full speed.
func NewAdapterPool(atOnce int) *AdapterPool { return &AdapterPool{atOnce: atOnce} }

// Load takes as long as one adapter load; beyond the pool's size it takes
// proportionally longer.
func (p *AdapterPool) Load(ctx context.Context, rnd *rand.Rand) error {
	d := adapterMin + time.Duration(rnd.Int64N(int64(adapterMax-adapterMin)))
	n := p.add(1)
	defer p.add(-1)
	if n > p.atOnce {
		d = d * time.Duration(n) / time.Duration(p.atOnce)
	}
	return pause.For(ctx, d)
}

// Peak returns the most adapter loads that were ever in flight at once.
func (p *AdapterPool) Peak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak
}

func (p *AdapterPool) add(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight += n
	p.peak = max(p.peak, p.inFlight)
	return p.inFlight
}
