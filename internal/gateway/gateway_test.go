package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// testDialect is a small form of its own: the product is not bound to the platform's.
type testDialect struct{}

func (testDialect) Parse(r *http.Request) Meta {
	m := Meta{ID: r.Header.Get("Id"), Model: r.Header.Get("Model"), Prompt: 10, Output: 10}
	if ms, err := strconv.Atoi(r.Header.Get("Wait")); err == nil {
		m.Wait = time.Duration(ms) * time.Millisecond
	}
	return m
}

func (testDialect) Forward(in http.Header, f Forward) http.Header {
	h := http.Header{"Id": in["Id"], "Upstream": {f.Upstream}, "Left": {strconv.FormatInt(f.Left.Milliseconds(), 10)}}
	if f.HasAfter {
		h.Set("After", strconv.FormatUint(f.After, 10))
	}
	return h
}

func (testDialect) Answers(req *http.Request, res *http.Response) bool {
	got := res.Header.Get("Id")
	return got == "" || got == req.Header.Get("Id")
}

func (testDialect) Head(res *http.Response) Head {
	return Head{NotRun: res.Header.Get("Not-Run") != "", NotHeld: res.StatusCode == http.StatusMisdirectedRequest,
		Signed: res.Header.Get("Signed") != ""}
}

func (testDialect) Backward(dst, src http.Header) {
	for _, k := range []string{"Id", "Signed", "Content-Type"} {
		if v := src[k]; v != nil {
			dst[k] = v
		}
	}
}

func (testDialect) Event(raw []byte) (uint64, bool) {
	id, err := strconv.ParseUint(strings.TrimSpace(strings.TrimPrefix(strings.SplitN(string(raw), "\n", 2)[0], "id:")), 10, 64)
	return id, err == nil
}

func (testDialect) Decode(document []byte) (*routing.Config, error) {
	if string(document) != "doc" {
		return nil, errors.New("unreadable")
	}
	route := func(prefix string, k routing.Kind, resumable bool, attempts int) routing.Route {
		return routing.Route{Name: prefix, Host: "h.example", Prefix: prefix, Kind: k, Resumable: resumable,
			Timeout: 2 * time.Second, MaxAttempts: attempts, Split: []routing.Share{{Service: "s", Weight: 1}}}
	}
	return &routing.Config{Version: 1, Services: []routing.Service{{Name: "s"}}, Routes: []routing.Route{
		route("/safe/", routing.Safe, false, 2), route("/unsafe/", routing.Unsafe, false, 1),
		route("/stream/", routing.Stream, false, 1), route("/resume/", routing.Stream, true, 2),
	}}, nil
}

func (testDialect) ReadyPath() string { return "/ready" }

// upstreams are stand-ins that run a script for each request.
type upstreams struct {
	mu   sync.Mutex
	runs []string // "upstream path after"
}

type script func(w http.ResponseWriter, r *http.Request, n int)

func (u *upstreams) start(t *testing.T, id string, do script) *wire.UpstreamState {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		u.runs = append(u.runs, strings.TrimSpace(id+" "+r.URL.Path+" "+r.Header.Get("After")))
		n := len(u.runs)
		u.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		do(w, r, n)
	})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { srv.Close() })
	return &wire.UpstreamState{Id: id, BornUnixMs: 1, Service: "s", Address: ln.Addr().String(), Slots: 8,
		Phase: wire.UpstreamPhase_PHASE_READY}
}

func (u *upstreams) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.runs)
}

func entry(t *testing.T, states ...*wire.UpstreamState) *Server {
	t.Helper()
	s, err := New(Options{
		Node: "e1", Listen: "127.0.0.1:0", Ready: "127.0.0.1:0", Dialect: testDialect{},
		Group:    ctlclient.New(ctlclient.Options{Addresses: []string{"127.0.0.1:1"}, Logger: slog.New(slog.DiscardHandler)}),
		Dispatch: dispatch.DefaultSettings(), DrainAnnounce: time.Millisecond,
		MaxStale: time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	if err := s.apply(&wire.FleetUpdate{Term: 1, Snapshot: true, Upstreams: states, Routing: record(t, 1, nil, []byte("doc"))}); err != nil {
		t.Fatal(err)
	}
	return s
}

func get(t *testing.T, s *Server, path string, wait int) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Addr()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", "q1")
	req.Header.Set("Wait", strconv.Itoa(wait))
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

func served(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Signed", "yes")
	_, _ = io.WriteString(w, "whole")
}

func TestRequest_IsAnsweredWithTheUpstreamsAnswer(t *testing.T) {
	is := is.New(t)
	var u upstreams
	s := entry(t, u.start(t, "u1", served))
	res, body, err := get(t, s, "/safe/x", 2000)
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
	is.Equal(res.Header.Get("Signed"), "yes")
	is.Equal(body, "whole")
	is.Equal(u.runs, []string{"u1 /safe/x"})
}

func TestRequest_WithoutRouteIsNotFound(t *testing.T) {
	is := is.New(t)
	s := entry(t)
	res, _, err := get(t, s, "/other/x", 2000)
	is.NoErr(err)
	is.Equal(res.StatusCode, 404)
}

func TestRequest_BeforeAnyConfigurationIsRefused(t *testing.T) {
	is := is.New(t)
	s := entry(t)
	s.table.Store(nil)
	s.held = nil
	s.fresh = make(chan struct{})
	res, _, err := get(t, s, "/safe/x", 200)
	is.NoErr(err)
	is.Equal(res.StatusCode, 503)
	is.True(res.Header.Get("Retry-After") != "")
	ready, err := http.Get("http://" + s.ReadyAddr() + "/ready")
	is.NoErr(err)
	ready.Body.Close()
	is.Equal(ready.StatusCode, 503)
}

func TestRequest_WaitsForTheFirstConfigurationAfterARestart(t *testing.T) {
	is := is.New(t)
	var u upstreams
	up := u.start(t, "u1", served)
	s := entry(t, up)
	s.table.Store(nil)
	s.held = nil
	s.fresh = make(chan struct{})
	got := make(chan int, 1)
	go func() {
		res, _, err := get(t, s, "/safe/x", 8000)
		if err == nil {
			got <- res.StatusCode
		}
		close(got)
	}()
	for s.front.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(s.apply(&wire.FleetUpdate{Term: 2, Snapshot: true, Upstreams: []*wire.UpstreamState{up},
		Routing: record(t, 1, nil, []byte("doc"))}))
	is.Equal(<-got, 200)
}

func TestRefusal_BeforeRunningIsTriedElsewhereAlsoForUnsafe(t *testing.T) {
	is := is.New(t)
	var u upstreams
	full := func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(503)
			return
		}
		served(w, r, n)
	}
	s := entry(t, u.start(t, "u1", full), u.start(t, "u2", full))
	res, _, err := get(t, s, "/unsafe/x", 2000)
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
	is.Equal(u.count(), 2)
}

func TestLostAnswer_UnsafeRequestIsNeverSentAgainAndNotPromisedAsNotRun(t *testing.T) {
	is := is.New(t)
	var u upstreams
	lost := func(w http.ResponseWriter, _ *http.Request, _ int) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			c.Close()
		}
	}
	s := entry(t, u.start(t, "u1", lost), u.start(t, "u2", lost))
	res, _, err := get(t, s, "/unsafe/x", 2000)
	is.NoErr(err)
	is.Equal(res.StatusCode, 502)
	is.Equal(u.count(), 1)
	_, _, err = get(t, s, "/safe/x", 2000)
	is.NoErr(err)
	is.Equal(u.count(), 3) // two upstreams at most
}

func TestFailure_OfTheUpstreamIsPassedOnUnchangedWhenNothingBetterComes(t *testing.T) {
	is := is.New(t)
	var u upstreams
	failing := func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Signed", "yes")
		w.WriteHeader(500)
		_, _ = io.WriteString(w, "oh")
	}
	s := entry(t, u.start(t, "u1", failing), u.start(t, "u2", failing))
	res, body, err := get(t, s, "/safe/x", 2000)
	is.NoErr(err)
	is.Equal(res.StatusCode, 500)
	is.Equal(res.Header.Get("Signed"), "yes")
	is.Equal(body, "oh")
	is.Equal(u.count(), 2)
}

func TestBusy_WithoutItsPromiseIsNotPassedOnAsAPromise(t *testing.T) {
	is := is.New(t)
	var u upstreams
	s := entry(t, u.start(t, "u1", func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Signed", "yes")
		w.WriteHeader(503) // it may have run
	}))
	res, _, err := get(t, s, "/unsafe/x", 2000)
	is.NoErr(err)
	is.Equal(res.StatusCode, 502)
	is.Equal(res.Header.Get("Signed"), "")
}

func TestUnsignedSuccess_IsNotPassedOn(t *testing.T) {
	is := is.New(t)
	var u upstreams
	s := entry(t, u.start(t, "u1", func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "forged") }))
	res, body, err := get(t, s, "/unsafe/x", 2000)
	is.NoErr(err)
	is.Equal(res.StatusCode, 502)
	is.True(!strings.Contains(body, "forged"))
}

// streaming sends events from first to last; then it ends the stream or breaks it off.
func streaming(w http.ResponseWriter, first, last int, whole bool) {
	w.Header().Set("Signed", "yes")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		w.(http.Flusher).Flush()
	}
	if !whole {
		_, _ = io.WriteString(w, "id: 99\nda") // in the middle of an event
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

func TestStream_ArrivesWhole(t *testing.T) {
	is := is.New(t)
	var u upstreams
	s := entry(t, u.start(t, "u1", func(w http.ResponseWriter, _ *http.Request, _ int) { streaming(w, 1, 3, true) }))
	res, body, err := get(t, s, "/stream/x", 2000)
	is.NoErr(err)
	is.Equal(res.Header.Get("Content-Type"), "text/event-stream")
	is.Equal(body, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n")
}

func TestStream_CutInTheMiddleDoesNotLookWhole(t *testing.T) {
	is := is.New(t)
	var u upstreams
	cut := func(w http.ResponseWriter, _ *http.Request, _ int) { streaming(w, 1, 2, false) }
	s := entry(t, u.start(t, "u1", cut), u.start(t, "u2", cut))
	_, body, err := get(t, s, "/stream/x", 2000)
	is.True(err != nil)
	is.True(!strings.Contains(body, "99"))
	is.Equal(u.count(), 1) // it may not be resumed
}

func TestStream_ResumableGoesOnAfterItsLastEvent(t *testing.T) {
	is := is.New(t)
	var u upstreams
	resumed := func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			streaming(w, 1, 2, false)
			return
		}
		after, _ := strconv.Atoi(r.Header.Get("After"))
		streaming(w, after+1, 4, true)
	}
	s := entry(t, u.start(t, "u1", resumed), u.start(t, "u2", resumed))
	_, body, err := get(t, s, "/resume/x", 2000)
	is.NoErr(err)
	is.Equal(strings.Count(body, "data:"), 4)
	is.True(strings.HasSuffix(body, "id: 4\ndata: piece 4\n\n"))
	is.Equal(u.count(), 2)
	is.True(strings.HasSuffix(u.runs[1], " 2"))
	is.True(u.runs[0][:2] != u.runs[1][:2]) // at another upstream
}

func TestStream_EventsThatGoBackAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	var u upstreams
	s := entry(t, u.start(t, "u1", func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Signed", "yes")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\nid: 1\ndata: a\n\n")
	}))
	_, body, err := get(t, s, "/stream/x", 2000)
	is.True(err != nil)
	is.Equal(strings.Count(body, "data:"), 1)
}

func TestDeadline_IsAnsweredThenAndTheRunIsCancelled(t *testing.T) {
	is := is.New(t)
	var u upstreams
	cancelled := make(chan struct{})
	s := entry(t, u.start(t, "u1", func(_ http.ResponseWriter, r *http.Request, _ int) {
		<-r.Context().Done()
		close(cancelled)
	}))
	res, _, err := get(t, s, "/unsafe/x", 300)
	is.NoErr(err)
	is.Equal(res.StatusCode, 504)
	<-cancelled
}

func TestCallerLeft_TheRunIsCancelled(t *testing.T) {
	is := is.New(t)
	var u upstreams
	began, cancelled := make(chan struct{}), make(chan struct{})
	s := entry(t, u.start(t, "u1", func(_ http.ResponseWriter, r *http.Request, _ int) {
		close(began)
		<-r.Context().Done()
		close(cancelled)
	}))
	c, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	_, err = io.WriteString(c, "GET /stream/x HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n\r\n")
	is.NoErr(err)
	<-began
	c.Close()
	<-cancelled
}

func TestDrain_FinishesWhatRunsAndClosesTheConnection(t *testing.T) {
	is := is.New(t)
	var u upstreams
	began, release := make(chan struct{}), make(chan struct{})
	s := entry(t, u.start(t, "u1", func(w http.ResponseWriter, r *http.Request, n int) {
		close(began)
		<-release
		served(w, r, n)
	}))
	c, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nId: q1\r\n\r\n")
	is.NoErr(err)
	<-began
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	for !s.refusing.Load() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole")
	is.NoErr(<-done)
}

func TestAnswer_PromisesOnlyWhatIsTrue(t *testing.T) {
	is := is.New(t)
	is.Equal(seconds(1500*time.Millisecond), "1.5")
	is.Equal(seconds(10*time.Millisecond), "0.01")
	for _, status := range []int{408, 421, 429, 503} {
		is.True(promisesNotRun(status))
	}
	for _, status := range []int{500, 502, 504} {
		is.True(!promisesNotRun(status))
	}
}
