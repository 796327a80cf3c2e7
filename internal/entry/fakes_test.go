package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/view"
	"gentiankeel/internal/wire"
)

// eventually polls until the condition holds and fails the test after 20 s.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition was not met: %s", condition)
}

// fakeScheduler grants every slot request an upstream that is not excluded.
type fakeScheduler struct {
	mu             sync.Mutex
	upstreams      map[string]string // id -> address
	useBy          time.Duration
	hedgeAfter     time.Duration
	refuse         func(*wire.Ask) *errkind.Error
	block          chan struct{} // if set, slot requests wait until it is closed
	waiting        int
	asks           []*wire.Ask
	granted        map[string]int // attempt -> open grants
	releases       []*wire.Release
	announced      [][]byte
	onLost         map[string]func() // of the latest attempt, by upstream
	discardHistory bool              // asks and releases are not recorded
}

func newFakeScheduler(upstreams ...*fakeUpstream) *fakeScheduler {
	f := &fakeScheduler{upstreams: map[string]string{}, useBy: time.Minute, granted: map[string]int{}, onLost: map[string]func(){}}
	for _, u := range upstreams {
		f.upstreams[u.id] = u.address()
	}
	return f
}

func (f *fakeScheduler) Acquire(ctx context.Context, ask *wire.Ask, onLost func()) (*wire.Grant, error) {
	f.mu.Lock()
	if !f.discardHistory {
		f.asks = append(f.asks, ask)
	}
	block := f.block
	if block != nil {
		f.waiting++
	}
	f.mu.Unlock()
	if block != nil {
		select {
		case <-block:
		case <-ctx.Done():
		}
		f.mu.Lock()
		f.waiting--
		f.mu.Unlock()
	}
	if ctx.Err() != nil {
		return nil, errkind.New(errkind.NoScheduler, "the context has ended")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse != nil {
		if err := f.refuse(ask); err != nil {
			return nil, err
		}
	}
	id := f.pickUpstream(ask.GetExclude())
	if id == "" {
		return nil, errkind.New(errkind.NoCapacity, "all upstreams are excluded")
	}
	f.granted[ask.GetAttempt()]++
	f.onLost[id] = onLost
	return &wire.Grant{
		Attempt: ask.GetAttempt(), Upstream: id, Address: f.upstreams[id], Fence: 7, Incarnation: 1,
		UseByMs: uint32(f.useBy.Milliseconds()), HedgeAfterMs: uint32(f.hedgeAfter.Milliseconds()),
	}, nil
}

func (f *fakeScheduler) pickUpstream(exclude []string) string {
	var ids []string
	for id := range f.upstreams {
		if !strings.Contains(","+strings.Join(exclude, ",")+",", ","+id+",") {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

// upstreamRestarted reports the loss of the latest attempt on an upstream.
func (f *fakeScheduler) upstreamRestarted(id string) {
	f.mu.Lock()
	onLost := f.onLost[id]
	f.mu.Unlock()
	onLost()
}

func (f *fakeScheduler) Release(r *wire.Release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.granted[r.GetAttempt()]--
	if !f.discardHistory {
		f.releases = append(f.releases, r)
	}
}

func (f *fakeScheduler) ReportProgress(*wire.Progress) {}

func (f *fakeScheduler) Announce(_ context.Context, a []byte) (*wire.AnnounceResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announced = append(f.announced, a)
	return &wire.AnnounceResponse{Known: true, NextAfterMs: 500}, nil
}

func (f *fakeScheduler) waitingCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting
}

// outcomesByUpstream returns the outcome of the last release on each upstream.
func (f *fakeScheduler) outcomesByUpstream() map[string]wire.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]wire.Outcome{}
	for _, r := range f.releases {
		out[r.GetUpstream()] = r.GetOutcome()
	}
	return out
}

// outcomes lists the outcomes of the releases, in order.
func (f *fakeScheduler) outcomes() []wire.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []wire.Outcome
	for _, r := range f.releases {
		list = append(list, r.GetOutcome())
	}
	return list
}

// allReleased reports whether every grant was released exactly once.
func (f *fakeScheduler) allReleased() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.granted {
		if n != 0 {
			return false
		}
	}
	return true
}

// fakeUpstream serves calls with respond, which gets the number of the call, and records
// them.
type fakeUpstream struct {
	id      string
	srv     *httptest.Server
	respond func(n int, w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	calls   []*http.Request
	bodies  []string
	cancels []string
}

func newFakeUpstream(t *testing.T, id string, respond func(n int, w http.ResponseWriter, r *http.Request)) *fakeUpstream {
	u := &fakeUpstream{id: id, respond: respond}
	u.srv = httptest.NewServer(http.HandlerFunc(u.serve))
	t.Cleanup(u.srv.Close)
	return u
}

func (u *fakeUpstream) address() string { return u.srv.Listener.Addr().String() }

func (u *fakeUpstream) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	if r.URL.Path == upstream.PathCancel {
		var c upstream.CancelRequest
		_ = json.Unmarshal(body, &c)
		u.cancels = append(u.cancels, c.Attempt)
		u.mu.Unlock()
		return
	}
	u.calls = append(u.calls, r)
	u.bodies = append(u.bodies, string(body))
	n := len(u.calls) - 1
	u.mu.Unlock()
	w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
	u.respond(n, w, r)
}

func (u *fakeUpstream) callCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.calls)
}

func (u *fakeUpstream) cancelCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.cancels)
}

// tokenEvent returns the event of the token at index i.
func tokenEvent(i int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"text\":\"t%d \"}],\"index_token\":%d}\n\n", i, i)
}

// sendTokens streams the tokens below until, from the one that X-Resume-From names.
func sendTokens(w http.ResponseWriter, r *http.Request, until int) {
	from, _ := strconv.Atoi(r.Header.Get(upstream.HeaderResume))
	w.Header().Set("Content-Type", contentStream)
	for i := from; i < until; i++ {
		_, _ = io.WriteString(w, tokenEvent(i))
	}
	w.(http.Flusher).Flush()
}

func sendEndMark(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: [DONE]\n\n") }

func tokenEvents(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenEvent(i))
	}
	return b.String()
}

func completeStream(n int) func(int, http.ResponseWriter, *http.Request) {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		sendTokens(w, r, n)
		sendEndMark(w)
	}
}

// abortConnection closes the connection before the end of the response.
func abortConnection(w http.ResponseWriter) {
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

type fakeConfig struct{ v atomic.Pointer[view.View] }

func (f *fakeConfig) Current() *view.View { return f.v.Load() }

func (f *fakeConfig) set(v *view.View) { f.v.Store(v) }

func testConfig() *fakeConfig {
	f := &fakeConfig{}
	f.set(&view.View{Snapshot: view.FromSpec(testSpec()), Fresh: true})
	return f
}

func testSpec() *wire.Spec {
	return &wire.Spec{
		Name: "test", Version: 3, Index: 11,
		Models:   []*wire.Model{{Name: "m", Version: "1", Replicas: 2}},
		Adapters: []*wire.Adapter{{Name: "a", Model: "m", Version: "1"}},
		Services: []*wire.Service{{Name: "lookup", Idempotent: true}, {Name: "print"}},
	}
}

// harness is an entry with fakes of its dependencies.
type harness struct {
	t            *testing.T
	is           *is.I
	scheduler    *fakeScheduler
	ledger       *fakeLedger
	config       *fakeConfig
	entry        *Server
	reg          *prometheus.Registry
	client       *http.Client
	shutdownOnce sync.Once
}

func newHarness(t *testing.T, scheduler *fakeScheduler, modify ...func(*Options)) *harness {
	h := &harness{t: t, is: is.NewRelaxed(t), scheduler: scheduler, ledger: newFakeLedger(), reg: prometheus.NewRegistry()}
	h.config = testConfig()
	opts := Options{
		NodeID: "e1", Listen: "127.0.0.1:0", Scheduler: scheduler, Config: h.config, Ledger: h.ledger,
		Registerer: h.reg, DrainSettle: time.Millisecond,
	}
	for _, f := range modify {
		f(&opts)
	}
	var err error
	h.entry, err = New(opts)
	h.is.NoErr(err)
	h.is.NoErr(h.entry.Start())
	h.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(func() { h.shutdown() })
	return h
}

// shutdown stops the entry and checks the invariants that hold after every test.
func (h *harness) shutdown() {
	h.shutdownOnce.Do(func() {
		h.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		h.is.NoErr(h.entry.Shutdown(ctx))
		h.is.True(h.scheduler.allReleased())                              // every grant was released exactly once
		h.is.Equal(h.metric("in_flight"), 0.0)                            // no request is unfinished
		h.is.Equal(h.metric("entered_total"), h.metric("requests_total")) // each request was finished once
		h.is.Equal(h.entry.http.InFlight(), 0)                            // no handler is running
		eventually(h.t, "all goroutines have ended", func() bool { return !h.hasLeaks() })
	})
}

// hasLeaks reports whether a goroutine of a request is still running, by the names of the
// methods on its stack. The tests of this package run one after another, so that such a
// goroutine belongs to this harness.
func (h *harness) hasLeaks() bool {
	buf := make([]byte, 1<<20)
	stacks := string(buf[:runtime.Stack(buf, true)])
	for _, f := range []string{"entry.(*relay).", "entry.(*ledgerCall).", "entry.(*call).", "entry.(*Server).cancelAttempt"} {
		if strings.Contains(stacks, "gentiankeel/internal/"+f) {
			return true
		}
	}
	return false
}

// metric returns the sum of an entry metric over its labels.
func (h *harness) metric(name string) float64 {
	families, err := h.reg.Gather()
	h.is.NoErr(err)
	sum := 0.0
	for _, f := range families {
		if f.GetName() != "gentiankeel_entry_"+name {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += metricValue(m)
		}
	}
	return sum
}

func metricValue(m *dto.Metric) float64 {
	return m.GetCounter().GetValue() + m.GetGauge().GetValue()
}

func (h *harness) newRequest(method, path, body string, header ...string) *http.Request {
	req, err := http.NewRequest(method, "http://"+h.entry.Addr()+path, strings.NewReader(body))
	h.is.NoErr(err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

type httpResult struct {
	status int
	header http.Header
	body   string
}

func (h *harness) roundTrip(req *http.Request) httpResult {
	h.t.Helper()
	res, err := h.client.Do(req)
	if err != nil {
		h.t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	return httpResult{res.StatusCode, res.Header, string(body)}
}

func (h *harness) post(path, body string, header ...string) httpResult {
	h.t.Helper()
	return h.roundTrip(h.newRequest(http.MethodPost, path, body, header...))
}

const (
	streamBody = `{"model":"m","prompt":"hello","stream":true}`
	jsonBody   = `{"model":"m:a","prompt":"hello","max_tokens":8}`
)

func (h *harness) stream(header ...string) httpResult {
	h.t.Helper()
	return h.post(upstream.PathCompletions, streamBody, header...)
}

func (r httpResult) problem(t *testing.T) Problem {
	t.Helper()
	var p Problem
	if err := json.Unmarshal([]byte(r.body), &p); err != nil {
		t.Fatalf("body is not a problem: %q", r.body)
	}
	return p
}

// streamProblem returns the problem in the error event at the end of a stream.
func (r httpResult) streamProblem(t *testing.T) Problem {
	t.Helper()
	_, rest, ok := strings.Cut(r.body, "event: error\ndata: ")
	if !ok {
		t.Fatalf("no error event: %q", r.body)
	}
	var e struct{ Error Problem }
	if err := json.NewDecoder(bytes.NewReader([]byte(rest))).Decode(&e); err != nil {
		t.Fatal(err)
	}
	return e.Error
}

// contextCancelledWhen returns a context that is cancelled when the condition holds.
func contextCancelledWhen(holds func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for !holds() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	return ctx, cancel
}
