package upclient

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// process is an upstream that tells the start of its process.
type process struct {
	mu       sync.Mutex
	requests []string
	tell     http.HandlerFunc
}

func (p *process) received() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

func (p *process) start(t *testing.T) (address string) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.requests = append(p.requests, r.URL.Path)
		p.mu.Unlock()
		if r.URL.Path == "/born" {
			p.tell(w, r)
			return
		}
		_, _ = io.WriteString(w, "served")
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// callProcess sends a call that is admitted by the process with the given start only.
func callProcess(pool *Pool, address string, born int64) (body string, f *Failure) {
	request := func(path string) *http.Request {
		return &http.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: address, Header: http.Header{}}
	}
	res, f := pool.Do(context.Background(), &Call{Address: address, Request: request("/x"), Identify: &Identify{
		Request: request("/born"),
		Parse:   parseBorn,
		Admit:   func(b int64) bool { return b == born },
	}})
	if f != nil {
		return "", f
	}
	defer res.Body.Close()
	raw, _ := io.ReadAll(res.Body)
	return string(raw), nil
}

func parseBorn(body []byte) (int64, error) { return strconv.ParseInt(string(body), 10, 64) }

func tellBorn(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "7") }

func TestIdentify_OncePerConnection(t *testing.T) {
	is := is.New(t)
	p := &process{tell: tellBorn}
	address, pool := p.start(t), New(Options{})
	for range 3 {
		body, f := callProcess(pool, address, 7)
		is.True(f == nil)
		is.Equal(body, "served")
	}
	is.Equal(p.received(), []string{"/born", "/x", "/x", "/x"})
}

// A call went to whichever process served the address.
func TestIdentify_OtherProcessGetsNothing(t *testing.T) {
	is := is.New(t)
	p := &process{tell: tellBorn}
	_, f := callProcess(New(Options{}), p.start(t), 8)
	is.True(f.Unsent)
	is.True(errors.Is(f, ErrOtherProcess))
	is.Equal(p.received(), []string{"/born"})
}

// A process that answers without telling is left to Admit, on the same connection.
func TestIdentify_DoesNotTell(t *testing.T) {
	for name, tell := range map[string]http.HandlerFunc{
		"an error":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) },
		"no number": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "seven") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &process{tell: tell}
			address, pool := p.start(t), New(Options{})
			for range 2 {
				body, f := callProcess(pool, address, 0)
				is.True(f == nil)
				is.Equal(body, "served")
			}
			is.Equal(p.received(), []string{"/born", "/x", "/x"})
			_, f := callProcess(pool, address, 7)
			is.True(errors.Is(f, ErrOtherProcess))
		})
	}
}

// A connection that ends with the answer is replaced. The process is asked again, since the next one may have come meanwhile.
func TestIdentify_ConnectionCloses(t *testing.T) {
	is := is.New(t)
	p := &process{tell: func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		tellBorn(w, r)
	}}
	address, pool := p.start(t), New(Options{})
	body, f := callProcess(pool, address, 7)
	is.True(f == nil)
	is.Equal(body, "served")
	is.Equal(p.received(), []string{"/born", "/born", "/x"})
}

// A call for the process that told its start went to the one that took the next connection.
func TestIdentify_ConnectionClosesAndNextProcessComes(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	p := &process{tell: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strconv.Itoa(7+int(min(asked.Add(1)-1, 1)))) // 7, then 8
	}}
	address, pool := p.start(t), New(Options{})
	_, f := callProcess(pool, address, 7)
	is.True(f.Unsent)
	is.True(errors.Is(f, ErrOtherProcess))
	is.True(!slices.Contains(p.received(), "/x"))
}

// Each question is answered by another process.
func TestIdentify_ConnectionClosesAndProcessesComeAndGo(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int64
	p := &process{tell: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strconv.FormatInt(7+asked.Add(1), 10))
	}}
	_, f := callProcess(New(Options{}), p.start(t), 8)
	is.True(f.Unsent)
	is.True(errors.Is(f, ErrNotIdentified))
	is.Equal(asked.Load(), int64(1+maxProcessDials))
	is.True(!slices.Contains(p.received(), "/x"))
}

// An answer without a bound is not read to its end, and does not tell.
func TestIdentify_TooLong(t *testing.T) {
	is := is.New(t)
	p := &process{tell: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, maxIdentityBytes+1)) }}
	body, f := callProcess(New(Options{}), p.start(t), 0)
	is.True(f == nil)
	is.Equal(body, "served")
	is.Equal(p.received(), []string{"/born", "/x"})
}

func TestIdentify_NoAnswer(t *testing.T) {
	for name, tell := range map[string]http.HandlerFunc{
		"cut":     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"silence": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &process{tell: tell}
			began := time.Now()
			_, f := callProcess(New(Options{}), p.start(t), 0)
			is.True(f.Unsent)
			is.Equal(errors.Is(f, ErrNotIdentified), name == "silence")
			is.True(!slices.Contains(p.received(), "/x"))
			is.True(time.Since(began) < DefaultIdentifyTimeout+5*time.Second)
		})
	}
}
