package loadgen

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/pause"
)

// Options are the settings of a run.
type Options struct {
	Targets   []string // host:port of the entries
	Upstreams []string // host:port of runners to sample for idle time; may be empty
	Caller    string   // X-Caller
	Token     string   // bearer token
	MaxOpen   int      // requests open at once; more arrivals are not sent
	// Text returns the right answer to a prompt, where the upstreams are stand-ins.
	Text func(model, adapter, prompt string, tokens int) string
}

const (
	defaultMaxOpen = 4_096
	connectTimeout = 2 * time.Second
	idleConns      = 1_024
)

// runner is one run.
type runner struct {
	client *client
	open   chan struct{}

	mu   sync.Mutex
	long map[string]int // long requests open, by model
}

// Run sends the arrivals at their times and returns a report when each has its final
// answer. When ctx ends, arrivals that are still to come are not sent.
func Run(ctx context.Context, o Options, arrivals []*Arrival) (*Report, error) {
	if len(o.Targets) == 0 {
		return nil, errors.New("a run needs targets")
	}
	if o.MaxOpen <= 0 {
		o.MaxOpen = defaultMaxOpen
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	r := &runner{
		client: &client{http: &http.Client{Transport: transport}, targets: o.Targets, caller: o.Caller, token: o.Token, text: o.Text},
		open:   make(chan struct{}, o.MaxOpen),
		long:   map[string]int{},
	}
	idle := startSampler(ctx, o.Upstreams)
	results := r.all(ctx, arrivals)
	report := newReport(arrivals, results)
	report.Idle = idle.stop()
	return report, nil
}

// all starts each arrival at its time, whatever became of those before it.
func (r *runner) all(ctx context.Context, arrivals []*Arrival) []*Result {
	results := make([]*Result, len(arrivals))
	start := time.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		if pause.For(ctx, time.Until(start.Add(a.At))) != nil {
			results[i] = &Result{Arrival: a, Outcome: Unsent, Detail: "the run was ended"}
			continue
		}
		select {
		case r.open <- struct{}{}:
		default:
			results[i] = &Result{Arrival: a, Outcome: Unsent, Detail: "too many requests are open"}
			continue
		}
		wg.Go(func() {
			defer func() { <-r.open }()
			// The end of ctx stops new arrivals only: what was sent is waited for.
			results[i] = r.one(context.WithoutCancel(ctx), a, start.Add(a.At))
		})
	}
	wg.Wait()
	return results
}

func (r *runner) one(ctx context.Context, a *Arrival, start time.Time) *Result {
	behind := r.enter(a)
	defer r.leave(a)
	res := r.client.send(ctx, a, start)
	res.BehindLong = behind
	return res
}

// enter counts a long request in and tells whether one is open on the same model.
func (r *runner) enter(a *Arrival) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	behind := a.Model != "" && r.long[a.Model] > 0
	if a.Work.Long {
		r.long[a.Model]++
	}
	return behind
}

func (r *runner) leave(a *Arrival) {
	if !a.Work.Long {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.long[a.Model]--
}
