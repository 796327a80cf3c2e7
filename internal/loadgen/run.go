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
	Upstreams []string // host:port of runners to sample for idle time; empty: none
	Caller    string   // X-Caller
	Token     string   // bearer token
	MaxOpen   int      // concurrent requests, beyond which arrivals are not sent; 0: defaultMaxOpen
	// ExpectedText returns the expected answer to a prompt when the upstreams are stand-ins;
	// nil disables the check.
	ExpectedText func(model, adapter, prompt string, tokens int) string
}

const (
	defaultMaxOpen = 4_096
	connectTimeout = 2 * time.Second
	maxIdleConns   = 1_024
)

// loadRun is the state of one run.
type loadRun struct {
	client       *client
	openRequests chan struct{} // semaphore of capacity Options.MaxOpen

	mu       sync.Mutex
	openLong map[string]int // open long requests by model
}

// Run sends the arrivals at their times and returns a report once each has a final
// answer. After the end of ctx no further arrivals are sent.
func Run(ctx context.Context, o Options, arrivals []*Arrival) (*Report, error) {
	if len(o.Targets) == 0 {
		return nil, errors.New("a run needs targets")
	}
	if o.MaxOpen <= 0 {
		o.MaxOpen = defaultMaxOpen
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	r := &loadRun{
		client:       &client{http: &http.Client{Transport: transport}, targets: o.Targets, caller: o.Caller, token: o.Token, expectedText: o.ExpectedText},
		openRequests: make(chan struct{}, o.MaxOpen),
		openLong:     map[string]int{},
	}
	idleSampler := startSampler(ctx, o.Upstreams)
	results := r.sendAll(ctx, arrivals)
	report := newReport(arrivals, results)
	report.Idle = idleSampler.stop()
	return report, nil
}

// runEnded is the detail of an arrival that is not sent because the run's context ended.
const runEnded = "the run was ended"

// sendAll starts each arrival at its time, independently of earlier answers.
func (r *loadRun) sendAll(ctx context.Context, arrivals []*Arrival) []*Result {
	results := make([]*Result, len(arrivals))
	start := time.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		unsent := runEnded
		if pause.For(ctx, time.Until(start.Add(a.At))) == nil {
			unsent = r.tryOpen(ctx)
		}
		if unsent != "" {
			results[i] = &Result{Arrival: a, Outcome: OutcomeUnsent, Detail: unsent}
			continue
		}
		wg.Go(func() {
			defer func() { <-r.openRequests }()
			// The end of ctx stops new arrivals only; open requests are awaited.
			results[i] = r.sendOne(context.WithoutCancel(ctx), a, start.Add(a.At))
		})
	}
	wg.Wait()
	return results
}

// tryOpen takes a place in openRequests and returns "", or returns why the next arrival is
// not sent. It looks at ctx last: a place that was freed after the end of ctx is not used.
func (r *loadRun) tryOpen(ctx context.Context) string {
	select {
	case r.openRequests <- struct{}{}:
	default:
		return "too many requests are open"
	}
	if ctx.Err() != nil {
		<-r.openRequests
		return runEnded
	}
	return ""
}

func (r *loadRun) sendOne(ctx context.Context, a *Arrival, start time.Time) *Result {
	behindLong := r.beginRequest(a)
	defer r.endRequest(a)
	result := r.client.send(ctx, a, start)
	result.BehindLong = behindLong
	return result
}

// beginRequest counts a long request as open. It reports whether another long request
// is open on the same model.
func (r *loadRun) beginRequest(a *Arrival) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	behindLong := a.Model != "" && r.openLong[a.Model] > 0
	if a.Workload.Long {
		r.openLong[a.Model]++
	}
	return behindLong
}

func (r *loadRun) endRequest(a *Arrival) {
	if !a.Workload.Long {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openLong[a.Model]--
}
