package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"gentiankeel/internal/pause"
	"gentiankeel/internal/upstream"
)

const (
	sampleInterval = 500 * time.Millisecond
	sampleTimeout  = 400 * time.Millisecond
)

// AcceleratorUsage is the sampled use of the runners' accelerators. A runner is
// idle while it holds a model and runs no request.
type AcceleratorUsage struct {
	Sampled     bool          `json:"sampled"`
	HeldTime    time.Duration `json:"held_ns"` // summed time of runners with a model loaded
	IdleTime    time.Duration `json:"idle_ns"` // part of HeldTime without a running request
	Unreachable int           `json:"unreachable_samples"`
}

// IdleHours returns the idle accelerator hours.
func (u AcceleratorUsage) IdleHours() float64 { return u.IdleTime.Hours() }

// sampler reads the state of the runners periodically.
type sampler struct {
	cancel context.CancelFunc
	done   chan struct{}
	usage  AcceleratorUsage
}

func startSampler(ctx context.Context, upstreams []string) *sampler {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &sampler{cancel: cancel, done: make(chan struct{})}
	s.usage.Sampled = len(upstreams) > 0
	go s.run(ctx, upstreams)
	return s
}

func (s *sampler) run(ctx context.Context, upstreams []string) {
	defer close(s.done)
	if len(upstreams) == 0 {
		return
	}
	client := &http.Client{Timeout: sampleTimeout}
	last := time.Now()
	for pause.For(ctx, sampleInterval) == nil {
		now := time.Now()
		s.sample(ctx, client, upstreams, now.Sub(last))
		last = now
	}
}

// sample reads every runner's state and adds the elapsed time to its totals.
func (s *sampler) sample(ctx context.Context, client *http.Client, upstreams []string, elapsed time.Duration) {
	states := make([]*upstream.State, len(upstreams))
	var wg sync.WaitGroup
	for i, addr := range upstreams {
		wg.Go(func() { states[i] = readState(ctx, client, addr) })
	}
	wg.Wait()
	for _, st := range states {
		switch {
		case st == nil:
			s.usage.Unreachable++
		case len(st.Held) > 0:
			s.usage.HeldTime += elapsed
			if st.Running == 0 {
				s.usage.IdleTime += elapsed
			}
		}
	}
}

// readState returns a runner's state, or nil if it can't be read.
func readState(ctx context.Context, client *http.Client, addr string) *upstream.State {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+upstream.PathState, nil)
	if err != nil {
		return nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	st := &upstream.State{}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(st) != nil {
		return nil
	}
	return st
}

// stop ends the sampling and returns the totals.
func (s *sampler) stop() AcceleratorUsage {
	s.cancel()
	<-s.done
	return s.usage
}
