package gateway

import (
	"bufio"
	"bytes"
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
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"gentiankeel/internal/retry"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// decodeKeys returns the configuration of a list "VERSION NAME=KEY:PRIORITY ...", with a route for anonymous
// requests.
func decodeKeys(list string) *routing.Config {
	c := newTestConfig()
	c.RequiresKey = true
	c.Routes = append(c.Routes, c.Routes[1])
	anonymous := &c.Routes[len(c.Routes)-1]
	anonymous.Prefix, anonymous.Name, anonymous.AllowAnonymous = "/open/", "/open/", true
	for i, field := range strings.Fields(list) {
		if i == 0 {
			c.Version, _ = strconv.ParseUint(field, 10, 64)
			continue
		}
		name, rest, _ := strings.Cut(field, "=")
		key, priority, _ := strings.Cut(rest, ":")
		n, _ := strconv.Atoi(priority)
		c.Organisations = append(c.Organisations, routing.Organisation{Name: name, Priority: n, KeyDigests: []routing.KeyDigest{routing.DigestKey(key)}})
	}
	return c
}

// putKeys sends the entry a newer configuration of decodeKeys.
func putKeys(t *testing.T, s *Server, version uint64, organisations string) {
	t.Helper()
	rec := encodedRecord(t, version, nil, fmt.Appendf(nil, "keys %d %s", version, organisations))
	if err := s.applyUpdate(&wire.FleetUpdate{Term: 1, Routing: rec}); err != nil {
		t.Error(err)
	}
}

// patient lets requests wait for an upstream until their deadline, however slow the machine is.
func patient(o *Options) {
	o.DispatchSettings.NoUpstreamWait, o.DispatchSettings.MaxBlindWait = time.Hour, time.Hour
}

// getWith sends a request with the header fields given as name and value in turn, and returns the status.
func getWith(t *testing.T, s *Server, path string, fields ...string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Addr()+path, nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("Id", "q1")
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") == "" {
		t.Errorf("503 without Retry-After on %s", path)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// seenFields records the fields that an upstream gets.
type seenFields struct {
	mu   sync.Mutex
	list []string // "organisation/key/priority"
}

func (f *seenFields) serve(w http.ResponseWriter, r *http.Request, n int) {
	f.mu.Lock()
	f.list = append(f.list, strings.Join([]string{r.Header.Get("Organisation"), r.Header.Get("Key"), r.Header.Get("Priority")}, "/"))
	f.mu.Unlock()
	serveOK(w, r, n)
}

func (f *seenFields) take() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.list
	f.list = nil
	return list
}

func awaitCondition(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

func (s *Server) waitingRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Waiting()
}

func TestKey_Admission(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		fields []string
		status int
		seen   string
		reason string
	}{
		"key":                          {"/safe/x", []string{"Key", "secret-a"}, 200, "a//3", ""},
		"key of another":               {"/safe/x", []string{"Key", "secret-b"}, 200, "b//6", ""},
		"no key":                       {"/safe/x", nil, 401, "", "missing"},
		"unknown key":                  {"/safe/x", []string{"Key", "secret-c"}, 401, "", "unknown"},
		"malformed key":                {"/safe/x", []string{"Key", ""}, 401, "", "malformed"},
		"no key, anonymous route":      {"/open/x", nil, 200, "//6", ""},
		"key, anonymous route":         {"/open/x", []string{"Key", "secret-a"}, 200, "a//3", ""},
		"unknown, anonymous route":     {"/open/x", []string{"Key", "secret-c"}, 401, "", "unknown"},
		"malformed, anonymous route":   {"/open/x", []string{"Key", ""}, 401, "", "malformed"},
		"unknown key, unknown model":   {"/generate/x", []string{"Key", "secret-c", "Model", "other"}, 401, "", "unknown"},
		"known key, unknown model":     {"/generate/x", []string{"Key", "secret-a", "Model", "other"}, 404, "", ""},
		"no route":                     {"/other/x", []string{"Key", "secret-a"}, 404, "", ""},
		"organisation named by sender": {"/safe/x", []string{"Organisation", "a"}, 401, "", "missing"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var u fakeUpstreams
			var seen seenFields
			s := startEntryWith(t, patient, "keys 1 a=secret-a:1 b=secret-b:7", u.start(t, "u1", seen.serve))
			is.Equal(getWith(t, s, c.path, c.fields...), c.status)
			is.Equal(strings.Join(seen.take(), " "), c.seen)
			if c.reason != "" {
				is.Equal(testutil.ToFloat64(s.m.keyRefusals.WithLabelValues(c.reason)), 1.0)
			}
			is.Equal(testutil.CollectAndCount(s.m.keyRefusals) > 0, c.reason != "")
		})
	}
}

// Guards against a list of organisations without members that lets everybody in.
func TestKey_EmptyList(t *testing.T) {
	is := is.New(t)
	s := startEntryWith(t, patient, "keys 1")
	is.Equal(getWith(t, s, "/safe/x"), 401)
	is.Equal(getWith(t, s, "/safe/x", "Key", "secret-a"), 401)
}

// Guards against a change for deployments without organisations.
func TestKey_NoOrganisations(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	var seen seenFields
	s := startEntry(t, u.start(t, "u1", seen.serve))
	is.Equal(getWith(t, s, "/safe/x", "Key", "secret-c"), 200)
	is.Equal(getWith(t, s, "/safe/x"), 200)
	is.Equal(seen.take(), []string{"/secret-c/0", "//0"})
	is.Equal(testutil.CollectAndCount(s.m.keyRefusals), 0)
}

// Guards against a 401 from an entry whose configuration is older than the key.
func TestKey_UnknownOutOfContact(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	s := startEntryWith(t, patient, "keys 1 a=secret-a:0", u.start(t, "u1", serveOK))
	s.o.RefusalMaxStale, s.o.ConfigWait = time.Nanosecond, time.Millisecond
	for _, fields := range [][]string{{"Key", "secret-b"}, {"Key", ""}, {}} {
		is.Equal(getWith(t, s, "/safe/x", fields...), 503)
	}
	is.Equal(testutil.ToFloat64(s.m.keyRefusals.WithLabelValues("out_of_contact")), 3.0)
	is.Equal(getWith(t, s, "/safe/x", "Key", "secret-a"), 200)
	is.Equal(u.requestCount(), 1)
}

func TestKey_ArrivesWhileUnknown(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	s := startEntryWith(t, patient, "keys 1 a=secret-a:0", u.start(t, "u1", serveOK))
	// Out of contact for the first request only: an update makes the last one young again.
	s.o.RefusalMaxStale, s.o.ConfigWait = 30*time.Second, time.Minute
	s.lastUpdate.Store(int64(s.now() - time.Hour))
	got := make(chan int, 1)
	go func() { got <- getWith(t, s, "/safe/x", "Key", "secret-b", "Wait", "60000") }()
	awaitCondition(t, "the request came", func() bool { return s.server.InFlight() == 1 })
	putKeys(t, s, 2, "a=secret-a:0 b=secret-b:0")
	is.Equal(<-got, 200)
}

// Guards against a key that is checked once per connection, and against runs that end with their key.
func TestKey_WithdrawnOnOpenConnection(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	began, goOn := make(chan struct{}), make(chan struct{})
	s := startEntryWith(t, patient, "keys 1 a=secret-a:0", u.start(t, "u1", func(w http.ResponseWriter, r *http.Request, n int) {
		if r.URL.Path != "/stream/x" {
			serveOK(w, r, n)
			return
		}
		w.Header().Set("Signed", "yes")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		w.(http.Flusher).Flush()
		close(began)
		<-goOn
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
	}))
	conn, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	defer conn.Close()
	r := bufio.NewReader(conn)
	ask := func(path string) (int, string) {
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\nId: q1\r\nKey: secret-a\r\n\r\n", path)
		is.NoErr(err)
		if path == "/stream/x" {
			<-began
			putKeys(t, s, 2, "b=secret-b:0")
			close(goOn)
		}
		res, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		return res.StatusCode, string(body)
	}
	status, _ := ask("/safe/x")
	is.Equal(status, 200)
	status, body := ask("/stream/x")
	is.Equal(status, 200)
	is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	status, _ = ask("/safe/x")
	is.Equal(status, 401)
	is.Equal(u.requestCount(), 2)
}

// Guards against a queued request that runs, or waits on, although its key was withdrawn, or its route closed to
// anonymous requests.
func TestKey_WithdrawnWhileRequestWaits(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		next      string
		reason    string
	}{
		"withdrawn":                {"/safe/x", "secret-a", "b=secret-b:0", "withdrawn"},
		"anonymous":                {"/open/x", "", "", ""},
		"moved to another":         {"/safe/x", "secret-a", "b=secret-a:0", ""},
		"first list while waiting": {"/safe/x", "-", "a=secret-a:0", "missing"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var u fakeUpstreams
			var seen seenFields
			document := "keys 1 a=secret-a:0"
			if c.key == "-" {
				document, c.key = "doc", ""
			}
			s := startEntryWith(t, patient, document)
			got := make(chan int, 1)
			fields := []string{"Wait", "60000"}
			if c.key != "" {
				fields = append(fields, "Key", c.key)
			}
			go func() { got <- getWith(t, s, c.path, fields...) }()
			awaitCondition(t, "the request waits", func() bool { return s.waitingRequests() == 1 })
			putKeys(t, s, 2, c.next)
			if c.reason != "" {
				is.Equal(<-got, 401) // without an upstream that becomes free
				is.Equal(testutil.ToFloat64(s.m.keyRefusals.WithLabelValues(c.reason)), 1.0)
				is.Equal(s.waitingRequests(), 0)
				return
			}
			is.NoErr(s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{u.start(t, "u1", seen.serve)}}))
			is.Equal(<-got, 200)
			if c.key != "" {
				is.Equal(seen.take(), []string{"b//0"}) // the organisation that has the key now
			}
		})
	}
}

// Guards against an attempt after the first that runs with a withdrawn key, and against a 401 to a request that may
// have run.
func TestKey_WithdrawnBetweenAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		notRun bool
		status int
	}{"first attempt not run": {true, 401}, "first attempt may have run": {false, 502}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var u fakeUpstreams
			var s *Server
			script := func(w http.ResponseWriter, _ *http.Request, _ int) {
				putKeys(t, s, 2, "b=secret-b:0")
				if !c.notRun {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(503)
			}
			s = startEntryWith(t, patient, "keys 1 a=secret-a:0", u.start(t, "u1", script), u.start(t, "u2", script))
			is.Equal(getWith(t, s, "/safe/x", "Key", "secret-a"), c.status)
			is.Equal(u.requestCount(), 1)
		})
	}
}

// Guards against 401 for a queued request by a configuration that may be older than the key's return.
func TestKey_WithdrawnWhileWaitingOutOfContact(t *testing.T) {
	is := is.New(t)
	s := startEntryWith(t, patient, "keys 1 a=secret-a:0")
	s.o.RefusalMaxStale, s.o.ConfigWait = 0, time.Millisecond
	got := make(chan int, 1)
	go func() { got <- getWith(t, s, "/safe/x", "Key", "secret-a", "Wait", "60000") }()
	awaitCondition(t, "the request waits", func() bool { return s.waitingRequests() == 1 })
	is.NoErr(s.receiveRouting(encodedRecord(t, 2, nil, []byte("keys 2 ")), 0)) // the end of a whole update would be contact
	is.Equal(<-got, 503)
}

func TestKey_FailClosed(t *testing.T) {
	for name, c := range map[string]struct {
		failClosed      bool
		age             time.Duration
		keyed, unkeyed  int
		unknown, noList int
	}{
		"in contact":           {true, 0, 200, 200, 401, 200},
		"out of contact":       {true, time.Minute, 503, 200, 503, 200},
		"allowed":              {false, time.Minute, 200, 200, 503, 200},
		"allowed, in contact":  {false, 0, 200, 200, 401, 200},
		"lost a moment before": {true, 20 * time.Second, 200, 200, 503, 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var u fakeUpstreams
			change := func(o *Options) {
				patient(o)
				o.FailClosed, o.RevokeAfter, o.RefusalMaxStale, o.ConfigWait = c.failClosed, 40*time.Second, 10*time.Second, time.Millisecond
			}
			s := startEntryWith(t, change, "keys 1 a=secret-a:0", u.start(t, "u1", serveOK))
			s.lastUpdate.Store(int64(s.now() - c.age))
			is.Equal(getWith(t, s, "/safe/x", "Key", "secret-a"), c.keyed)
			is.Equal(getWith(t, s, "/open/x"), c.unkeyed)
			is.Equal(getWith(t, s, "/safe/x", "Key", "secret-b"), c.unknown)
			plain := startEntryWith(t, change, "doc", u.start(t, "u1", serveOK))
			plain.lastUpdate.Store(int64(plain.now() - c.age))
			is.Equal(getWith(t, plain, "/safe/x", "Key", "secret-b"), c.noList)
		})
	}
}

// Guards against a request that was queued in contact and runs when its key can't be relied on any more.
func TestKey_FailClosedWhileRequestWaits(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	var s *Server
	began, goOn := make(chan struct{}), make(chan struct{})
	up := u.start(t, "u1", func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			close(began)
			<-goOn
		}
		serveOK(w, r, n)
	})
	up.Slots = 1
	s = startEntryWith(t, func(o *Options) {
		patient(o)
		o.FailClosed, o.RevokeAfter = true, time.Minute
	}, "keys 1 a=secret-a:0", up)
	first, second := make(chan int, 1), make(chan int, 1)
	go func() { first <- getWith(t, s, "/safe/x", "Key", "secret-a", "Wait", "60000") }()
	<-began
	go func() { second <- getWith(t, s, "/safe/x", "Key", "secret-a", "Wait", "60000") }()
	awaitCondition(t, "the second request waits", func() bool { return s.waitingRequests() == 1 })
	s.lastUpdate.Store(int64(s.now() - time.Hour))
	close(goOn)
	is.Equal(<-first, 200) // a run that has started is completed
	is.Equal(<-second, 503)
	is.Equal(u.requestCount(), 1)
}

// Without its name in the request for a slot, organisations would not be served in turn.
func TestSlotRequest_Organisation(t *testing.T) {
	is := is.New(t)
	x := &exchange{server: &Server{}, route: &routing.Route{}}
	is.Equal(x.slotRequest(retry.RequestSlot{}).Organisation, "")
	x.sender = sender{table: routing.NewTable(&routing.Config{RequiresKey: true}), organisation: &routing.Organisation{Name: "a"}}
	is.Equal(x.slotRequest(retry.RequestSlot{}).Organisation, "a")
}

func TestPriority_OrganisationBeforeRoute(t *testing.T) {
	is := is.New(t)
	table := routing.NewTable(&routing.Config{RequiresKey: true})
	for organisation, routes := range map[int][]int{-4: {0, 1, 2}, 0: {0, 1, 2}, 1: {3, 4, 5}, 2: {6, 7, 8}, 9: {6, 7, 8}} {
		from := sender{table: table, organisation: &routing.Organisation{Priority: organisation}}
		for route, want := range map[int]int{-1: routes[0], 0: routes[0], 1: routes[1], 2: routes[2], 7: routes[2]} {
			is.Equal(from.priority(&routing.Route{Priority: route}), want)
		}
	}
	is.Equal(sender{table: table}.priority(&routing.Route{Priority: 1}), 7) // anonymous
	plain := sender{table: routing.NewTable(&routing.Config{})}
	is.Equal(plain.priority(&routing.Route{Priority: 5}), 5) // as without organisations
}

// Guards against an order by the route alone, and against a changed priority that leaves queued requests in their
// order.
func TestKey_PriorityOfQueuedRequests(t *testing.T) {
	for name, c := range map[string]struct{ changed, want string }{
		"as queued": {"", "b a"},
		"changed":   {"a=secret-a:0 b=secret-b:2", "a b"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var u fakeUpstreams
			var seen seenFields
			var logged lockedBuffer
			s := startEntryWith(t, func(o *Options) {
				patient(o)
				o.Logger = slog.New(slog.NewJSONHandler(&logged, nil))
			}, "keys 1 a=secret-a:2 b=secret-b:1")
			got := make(chan int, 2)
			for i, key := range []string{"secret-a", "secret-b"} {
				go func() { got <- getWith(t, s, "/safe/x", "Key", key, "Wait", "60000") }()
				awaitCondition(t, "the request waits", func() bool { return s.waitingRequests() == i+1 })
			}
			if c.changed != "" {
				putKeys(t, s, 2, c.changed)
				awaitCondition(t, "both requests are queued anew", func() bool {
					return strings.Count(logged.String(), "Request waits") == 4 && s.waitingRequests() == 2
				})
			}
			up := u.start(t, "u1", seen.serve)
			up.Slots = 1
			is.NoErr(s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{up}}))
			is.Equal(<-got, 200)
			is.Equal(<-got, 200)
			var order []string
			for _, fields := range seen.take() {
				order = append(order, fields[:1])
			}
			is.Equal(strings.Join(order, " "), c.want)
		})
	}
}

// lockedBuffer is a buffer that several goroutines write to.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against a key in a log line, a metric or an answer, and against lines without the organisation.
func TestKey_NotLogged(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	var logged lockedBuffer
	registry := prometheus.NewRegistry()
	s := startEntryWith(t, func(o *Options) {
		patient(o)
		o.Logger = slog.New(slog.NewJSONHandler(&logged, &slog.HandlerOptions{Level: slog.LevelDebug}))
		o.Registerer = registry
	}, "keys 1 hule=secret-a:0", u.start(t, "u1", func(w http.ResponseWriter, r *http.Request, n int) {
		if r.URL.Path == "/unsafe/x" {
			panic(http.ErrAbortHandler)
		}
		serveOK(w, r, n)
	}))
	for _, path := range []string{"/safe/x", "/unsafe/x", "/open/x", "/other/x"} {
		for _, key := range []string{"secret-a", "secret-b", "secret-a secret-b", ""} {
			getWith(t, s, path, "Key", key)
		}
	}
	putKeys(t, s, 2, "other=secret-c:0")
	getWith(t, s, "/safe/x", "Key", "secret-a")
	_ = s.applyUpdate(&wire.FleetUpdate{Term: 1, Routing: encodedRecord(t, 3, nil, []byte("unreadable secret-d"))})
	is.True(strings.Contains(logged.String(), `"organisation":"hule"`))
	is.True(strings.Contains(logged.String(), `"organisations":1`))
	is.True(strings.Contains(logged.String(), "can't be decoded"))
	is.True(!strings.Contains(logged.String(), "secret-"))
	families, err := registry.Gather()
	is.NoErr(err)
	for _, family := range families {
		is.True(!strings.Contains(family.String(), "secret-"))
	}
}
