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

// eventually polls a condition; the generous limit only matters for a red test.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never happened: %s", what)
}

// fakeSlots grants every ask from a list of upstreams, excluded ones left out.
type fakeSlots struct {
	mu         sync.Mutex
	upstreams  map[string]string // id -> address
	useBy      time.Duration
	hedgeAfter time.Duration
	refuse     func(*wire.Ask) *errkind.Error
	hold       chan struct{} // when set, asks wait until it is closed
	waiting    int
	asks       []*wire.Ask
	granted    map[string]int // attempt -> open grants
	releases   []*wire.Release
	announced  [][]byte
	quiet      bool // keeps no record
}

func newFakeSlots(upstreams ...*fakeUpstream) *fakeSlots {
	f := &fakeSlots{upstreams: map[string]string{}, useBy: time.Minute, granted: map[string]int{}}
	for _, u := range upstreams {
		f.upstreams[u.id] = u.address()
	}
	return f
}

func (f *fakeSlots) Ask(ctx context.Context, ask *wire.Ask) (*wire.Grant, error) {
	f.mu.Lock()
	if !f.quiet {
		f.asks = append(f.asks, ask)
	}
	hold := f.hold
	if hold != nil {
		f.waiting++
	}
	f.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
		}
		f.mu.Lock()
		f.waiting--
		f.mu.Unlock()
	}
	if ctx.Err() != nil {
		return nil, errkind.New(errkind.NoScheduler, "asked too long")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse != nil {
		if err := f.refuse(ask); err != nil {
			return nil, err
		}
	}
	id := f.pick(ask.GetExclude())
	if id == "" {
		return nil, errkind.New(errkind.NoCapacity, "all upstreams are excluded")
	}
	f.granted[ask.GetAttempt()]++
	return &wire.Grant{
		Attempt: ask.GetAttempt(), Upstream: id, Address: f.upstreams[id], Fence: 7, Incarnation: 1,
		UseByMs: uint32(f.useBy.Milliseconds()), HedgeAfterMs: uint32(f.hedgeAfter.Milliseconds()),
	}, nil
}

func (f *fakeSlots) pick(exclude []string) string {
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

func (f *fakeSlots) Release(r *wire.Release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.granted[r.GetAttempt()]--
	if !f.quiet {
		f.releases = append(f.releases, r)
	}
}

func (f *fakeSlots) Progress(*wire.Progress) {}

func (f *fakeSlots) Announce(_ context.Context, a []byte) (*wire.AnnounceResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announced = append(f.announced, a)
	return &wire.AnnounceResponse{Known: true, NextAfterMs: 500}, nil
}

func (f *fakeSlots) isWaiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting
}

// outcomes lists what the slots were given back with, in order.
func (f *fakeSlots) outcomes() []wire.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []wire.Outcome
	for _, r := range f.releases {
		list = append(list, r.GetOutcome())
	}
	return list
}

// balanced tells whether every grant was given back exactly once.
func (f *fakeSlots) balanced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.granted {
		if n != 0 {
			return false
		}
	}
	return true
}

// fakeUpstream runs a script for each call and keeps what it got.
type fakeUpstream struct {
	id     string
	srv    *httptest.Server
	script func(n int, w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	calls   []*http.Request
	bodies  []string
	cancels []string
}

func newFakeUpstream(t *testing.T, id string, script func(n int, w http.ResponseWriter, r *http.Request)) *fakeUpstream {
	u := &fakeUpstream{id: id, script: script}
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
	u.script(n, w, r)
}

func (u *fakeUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.calls)
}

func (u *fakeUpstream) cancelled() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.cancels)
}

// chunk is the event of one token.
func chunk(i int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"text\":\"t%d \"}],\"index_token\":%d}\n\n", i, i)
}

// sendTokens streams tokens [from, until), honouring X-Resume-From.
func sendTokens(w http.ResponseWriter, r *http.Request, until int) {
	from, _ := strconv.Atoi(r.Header.Get(upstream.HeaderResume))
	w.Header().Set("Content-Type", contentStream)
	for i := from; i < until; i++ {
		_, _ = io.WriteString(w, chunk(i))
	}
	w.(http.Flusher).Flush()
}

func sendDone(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: [DONE]\n\n") }

func tokens(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(chunk(i))
	}
	return b.String()
}

func wholeStream(n int) func(int, http.ResponseWriter, *http.Request) {
	return func(_ int, w http.ResponseWriter, r *http.Request) {
		sendTokens(w, r, n)
		sendDone(w)
	}
}

// cut breaks the connection in mid-answer.
func cut(w http.ResponseWriter) {
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

// bench is an entry with fakes around it.
type bench struct {
	t      *testing.T
	is     *is.I
	slots  *fakeSlots
	ledger *fakeLedger
	config *fakeConfig
	entry  *Server
	reg    *prometheus.Registry
	client *http.Client
	stop   sync.Once
}

func newBench(t *testing.T, slots *fakeSlots, change ...func(*Options)) *bench {
	b := &bench{t: t, is: is.NewRelaxed(t), slots: slots, ledger: newFakeLedger(), reg: prometheus.NewRegistry()}
	b.config = testConfig()
	opts := Options{
		Node: "e1", Listen: "127.0.0.1:0", Slots: slots, Config: b.config, Ledger: b.ledger,
		Registerer: b.reg, Settle: time.Millisecond,
	}
	for _, f := range change {
		f(&opts)
	}
	var err error
	b.entry, err = New(opts)
	b.is.NoErr(err)
	b.is.NoErr(b.entry.Start())
	b.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(func() { b.shutdown() })
	return b
}

// shutdown ends the bench and checks what must hold after every test.
func (b *bench) shutdown() {
	b.stop.Do(func() {
		b.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		b.is.NoErr(b.entry.Shutdown(ctx))
		b.is.True(b.slots.balanced())                                     // every grant given back exactly once
		b.is.Equal(b.metric("in_flight"), 0.0)                            // no request without an answer
		b.is.Equal(b.metric("entered_total"), b.metric("requests_total")) // exactly one answer each
		b.is.Equal(b.entry.http.InFlight(), 0)                            // no handler left
		eventually(b.t, "no goroutine is left", func() bool { return !b.leaks() })
	})
}

// leaks tells whether a goroutine of this bench's relays still runs. Tests of one
// package run one after another.
func (b *bench) leaks() bool {
	buf := make([]byte, 1<<20)
	stacks := string(buf[:runtime.Stack(buf, true)])
	for _, f := range []string{"entry.(*relay).", "entry.(*booking).", "entry.(*call).", "entry.(*Server).cancelAt"} {
		if strings.Contains(stacks, "gentiankeel/internal/"+f) {
			return true
		}
	}
	return false
}

// metric sums an entry metric over its labels.
func (b *bench) metric(name string) float64 {
	families, err := b.reg.Gather()
	b.is.NoErr(err)
	sum := 0.0
	for _, f := range families {
		if f.GetName() != "gentiankeel_entry_"+name {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += value(m)
		}
	}
	return sum
}

func value(m *dto.Metric) float64 {
	return m.GetCounter().GetValue() + m.GetGauge().GetValue()
}

func (b *bench) request(method, path, body string, header ...string) *http.Request {
	r, err := http.NewRequest(method, "http://"+b.entry.Addr()+path, strings.NewReader(body))
	b.is.NoErr(err)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

type got struct {
	status int
	header http.Header
	body   string
}

func (b *bench) do(r *http.Request) got {
	b.t.Helper()
	res, err := b.client.Do(r)
	if err != nil {
		b.t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	return got{res.StatusCode, res.Header, string(body)}
}

func (b *bench) post(path, body string, header ...string) got {
	b.t.Helper()
	return b.do(b.request(http.MethodPost, path, body, header...))
}

const (
	streamBody = `{"model":"m","prompt":"hello","stream":true}`
	jsonBody   = `{"model":"m:a","prompt":"hello","max_tokens":8}`
)

func (b *bench) stream(header ...string) got {
	b.t.Helper()
	return b.post(upstream.PathCompletions, streamBody, header...)
}

func (g got) problem(t *testing.T) Problem {
	t.Helper()
	var p Problem
	if err := json.Unmarshal([]byte(g.body), &p); err != nil {
		t.Fatalf("no problem body: %q", g.body)
	}
	return p
}

// streamProblem is the error event at a stream's end.
func (g got) streamProblem(t *testing.T) Problem {
	t.Helper()
	_, rest, ok := strings.Cut(g.body, "event: error\ndata: ")
	if !ok {
		t.Fatalf("no error event: %q", g.body)
	}
	var e struct{ Error Problem }
	if err := json.NewDecoder(bytes.NewReader([]byte(rest))).Decode(&e); err != nil {
		t.Fatal(err)
	}
	return e.Error
}

// contextCancelledWhen ends the context once the condition holds.
func contextCancelledWhen(ok func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for !ok() && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	return ctx, cancel
}
