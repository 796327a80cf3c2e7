package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// resumeElsewhere sends a request that takes a stream up which another entry began, at an entry
// with upstreams of two software versions, and returns the status. The coordinator's answer is
// given once it was asked; nil: it gives none.
func resumeElsewhere(t *testing.T, u *fakeUpstreams, answer *wire.StreamOrigin) int {
	t.Helper()
	one, two := u.start(t, "u1", serveOK), u.start(t, "u2", serveOK)
	one.Software, two.Software = "v1", "v2"
	s := startEntry(t, one, two)
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		for range 5000 {
			s.mu.Lock()
			rep := &wire.EntryReport{}
			s.origins.takeOrigins(rep)
			s.mu.Unlock()
			if len(rep.OriginsAsked) > 0 && answer != nil {
				answer.Request = rep.OriginsAsked[0]
				_ = s.applyUpdate(&wire.FleetUpdate{Term: 1, Origins: []*wire.StreamOrigin{answer}})
				return
			}
			if len(rep.OriginsAsked) > 0 {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	res, _ := takeUp(t, s, "/resume/x", 0)
	<-asked
	return res.StatusCode
}

// takeUp sends a request that takes up the stream of the request q1 after an event.
func takeUp(t *testing.T, s *Server, path string, after int) (res *http.Response, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Addr()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", "q2")
	req.Header.Set("Resumes", "q1")
	req.Header.Set("After", strconv.Itoa(after))
	req.Header.Set("Wait", "8000")
	res, err = http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(raw)
}

// startRunners starts upstreams of an engine, all of the same software.
func (u *fakeUpstreams) startRunners(t *testing.T, software string, script handlerScript, ids ...string) []*wire.UpstreamState {
	t.Helper()
	var out []*wire.UpstreamState
	for _, id := range ids {
		state := u.start(t, id, script)
		state.Service, state.Software = "llm", software
		out = append(out, state)
	}
	return out
}

// serveRest serves a stream of four events from the one after the caller's last on.
func serveRest(w http.ResponseWriter, r *http.Request, _ int) {
	after, _ := strconv.Atoi(r.Header.Get("After"))
	writeStream(w, after+1, 4, true)
}

// serveHalf breaks the same stream off after two events; the rest is served whole.
func serveHalf(w http.ResponseWriter, r *http.Request, n int) {
	if r.Header.Get("After") != "" {
		serveRest(w, r, n)
		return
	}
	writeStream(w, 1, 2, false)
}

// A stream begun by a process of which nothing is published yet went on at the software of the one before it.
func TestResume_BegunByProcessNotPublished(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	var s *Server
	two := u.startRunners(t, "v1", serveRest, "u2")[0]
	one := u.startRunners(t, "v1", func(w http.ResponseWriter, r *http.Request, n int) {
		_ = s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{two}})
		serveHalf(w, r, n)
	}, "u1")[0]
	u.born = map[string]string{"u1": "2"}
	s = startEntry(t, one)
	_, body, err := get(t, s, "/engine/x", 2000)
	is.True(err != nil) // broken off: no upstream is known to have the software of its rest
	is.Equal(strings.Count(body, "data:"), 2)

	res, _ := takeUp(t, s, "/engine/x", 2)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(res.Header.Get("Retry-After"), "2")
	is.Equal(u.requests, []string{"u1 /engine/x"})

	reborn := proto.Clone(one).(*wire.UpstreamState)
	reborn.BornUnixMs, reborn.Software = 2, "v2"
	is.NoErr(s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{reborn}}))
	res, body = takeUp(t, s, "/engine/x", 2)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(strings.Count(body, "data:"), 2)
	is.Equal(u.requests[1:], []string{"u1 /engine/x 2"})
}

// The rest of a stream was sent to a process of other software, which had restarted under the id of the published one.
func TestResume_NotSentToProcessNotPublished(t *testing.T) {
	for _, id := range []string{"u1", "u2"} { // one of them is tried first
		is := is.New(t)
		var u fakeUpstreams
		runners := u.startRunners(t, "v1", serveRest, "u1", "u2")
		u.born = map[string]string{id: "2"}
		s := startEntry(t, runners...)
		s.origins.memory.Put(0, streamorigin.KeyOf("q1"), "v1")
		res, body := takeUp(t, s, "/engine/x", 2)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(strings.Count(body, "data:"), 2)
		other := map[string]string{"u1": "u2", "u2": "u1"}[id]
		is.Equal(u.requests, []string{other + " /engine/x 2"})
	}
}

// If no process of the software that began a stream is left, its caller is told at once.
func TestResume_OnlyProcessesNotPublished(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	runners := u.startRunners(t, "v1", serveRest, "u1", "u2")
	u.born = map[string]string{"u1": "2", "u2": "2"}
	s := startEntry(t, runners...)
	s.origins.memory.Put(0, streamorigin.KeyOf("q1"), "v1")
	began := time.Now()
	res, _ := takeUp(t, s, "/engine/x", 2)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.True(time.Since(began) < 500*time.Millisecond)
	is.Equal(u.requestCount(), 0)
}

// Where an upstream answers without telling its process, what is published counts, as with plain services.
func TestResume_BegunByProcessThatDoesNotTell(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	runners := u.startRunners(t, "v1", serveHalf, "u1")
	u.born = map[string]string{"u1": "none"}
	s := startEntry(t, runners...)
	_, body, err := get(t, s, "/engine/x", 2000)
	is.True(err != nil) // broken off by the only upstream
	is.Equal(strings.Count(body, "data:"), 2)
	res, _ := takeUp(t, s, "/engine/x", 2)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(u.requests, []string{"u1 /engine/x", "u1 /engine/x 2"})
}

// A process that does not answer in time which one it is serves new streams; nobody knows their software.
func TestResume_BegunByProcessThatIsSilent(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	runners := u.startRunners(t, "v1", serveHalf, "u1")
	u.bornDelay = time.Second
	s := startEntry(t, runners...)
	_, body, err := get(t, s, "/engine/x", 4000)
	is.True(err != nil)
	is.Equal(strings.Count(body, "data:"), 2)
	res, _ := takeUp(t, s, "/engine/x", 2)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(u.requests, []string{"u1 /engine/x"})
}

// The time that an upstream took to tell its process was not taken off the time that it was given for the request.
func TestIdentify_DeadlineTakenAfterwards(t *testing.T) {
	is := is.New(t)
	const delay = 200 * time.Millisecond
	var u fakeUpstreams
	var left string
	runners := u.startRunners(t, "v1", func(w http.ResponseWriter, r *http.Request, n int) {
		left = r.Header.Get("Left")
		serveRest(w, r, n)
	}, "u1")
	u.bornDelay = delay
	s := startEntry(t, runners...)
	_, _, err := get(t, s, "/engine/x", 1000)
	is.NoErr(err)
	ms, err := strconv.Atoi(left)
	is.NoErr(err)
	is.True(time.Duration(ms)*time.Millisecond <= time.Second-delay)
}

func TestResume_BegunAtAnotherEntry(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	is.Equal(resumeElsewhere(t, &u, &wire.StreamOrigin{Software: "v2"}), http.StatusOK)
	is.Equal(u.requests, []string{"u2 /resume/x 0"})
}

func TestResume_OriginUnknown(t *testing.T) {
	for name, answer := range map[string]*wire.StreamOrigin{"the coordinator doesn't know": {Unknown: true}, "no answer": nil,
		"the software was not known where it began": {Software: streamorigin.Unknown}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var u fakeUpstreams
			is.Equal(resumeElsewhere(t, &u, answer), http.StatusServiceUnavailable)
			is.Equal(u.requestCount(), 0)
		})
	}
}

// A new coordinator knows only what entries tell it.
func TestAttachReport_StreamsBegun(t *testing.T) {
	is := is.New(t)
	s := startEntry(t)
	s.origins.memory.Put(0, streamorigin.KeyOf("q1"), "v1")
	rep := s.attachReport()
	is.Equal(len(rep.Begun), 1)
	is.Equal(rep.Begun[0].Request, uint64(streamorigin.KeyOf("q1")))
}

// Streams of upstreams that name no version of their software were refused when they were taken up.
func TestResume_PlainUpstreamsWithoutVersion(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	s := startEntry(t, u.start(t, "u1", serveRest), u.start(t, "u2", serveRest))
	_, body, err := get(t, s, "/resume/x", 2000)
	is.NoErr(err)
	is.Equal(strings.Count(body, "data:"), 4)
	res, body := takeUp(t, s, "/resume/x", 2)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(strings.Count(body, "data:"), 2)
}

// unnamedDialect is testDialect for callers that name the last event that they have, but not the request that began the stream.
type unnamedDialect struct{ testDialect }

func (d unnamedDialect) ParseRequest(r *http.Request) RequestInfo {
	info := d.testDialect.ParseRequest(r)
	info.HasLastEventID, info.Resumes = r.Header.Get("After") != "", ""
	return info
}

// takeUpUnnamed takes a stream up after event 2 with a request of the given id.
func takeUpUnnamed(t *testing.T, s *Server, path, id string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Addr()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	for k, v := range map[string]string{"Id": id, "After": "2", "Wait": "1000"} {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	raw, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(raw)
}

// Guards against an origin that counts as known, as that of upstreams without a version, when only the end of the process that
// began the stream is published.
func TestOrigin_OnlyTheEndOfTheProcessIsPublished(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	one := u.startRunners(t, "v1", serveHalf, "u1")[0]
	nameless := u.startRunners(t, "", serveRest, "u2")[0]
	u.born = map[string]string{"u1": "2"}
	s := startEntry(t, one)
	_, _, err := get(t, s, "/engine/x", 2000)
	is.True(err != nil) // broken off by the only upstream
	gone := &wire.UpstreamState{Id: "u1", BornUnixMs: 2, Phase: wire.UpstreamPhase_PHASE_GONE}
	is.NoErr(s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{gone, nameless}}))
	s.mu.Lock()
	origin, ok := s.origins.memory.Get(streamorigin.KeyOf("q1"))
	s.mu.Unlock()
	if ok && origin != streamorigin.Unknown {
		t.Errorf("the origin is %q, though nothing was said of it", origin)
	}
	res, body := takeUp(t, s, "/engine/x", 2)
	if res.StatusCode == http.StatusOK {
		t.Errorf("the rest comes from %v: %q", u.requests[1:], body)
	}
}

// Guards against a stream of an unnamed request that goes on at the first version heard of, at an entry that has just started
// and whose coordinator has not heard from all upstreams.
func TestResume_UnnamedJustAfterTheStart(t *testing.T) {
	var u fakeUpstreams
	upstreams := append(u.startRunners(t, "v1", serveRest, "u1"), u.startRunners(t, "v2", serveRest, "u2")...)
	s := startEntryWith(t, func(o *Options) { o.Dialect = unnamedDialect{} }, "doc", upstreams[0])
	go func() {
		time.Sleep(300 * time.Millisecond) // the first heartbeat of the upstream that began the stream
		_ = s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: upstreams[1:]})
	}()
	status, _ := takeUpUnnamed(t, s, "/engine/x", "q2")
	if status == http.StatusOK {
		t.Errorf("goes on at %v, the only one heard of in the first moments, though two versions run", u.requests)
	}
	time.Sleep(400 * time.Millisecond)
	if status, _ := takeUpUnnamed(t, s, "/engine/x", "q3"); status != http.StatusServiceUnavailable {
		t.Errorf("%d with two versions", status)
	}
}

// Guards against a stream of an unnamed request that goes on at another service of a split.
func TestResume_UnnamedAtAnotherServiceOfASplit(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	first := u.startRunners(t, "v1", serveHalf, "u1")[0]
	second := u.startRunners(t, "v1", serveHalf, "u2")[0]
	second.Service = "s"
	s := startEntryWith(t, func(o *Options) { o.Dialect = unnamedDialect{} }, "doc", first, second)
	config := newTestConfig()
	for i := range config.Routes {
		if config.Routes[i].Prefix == "/engine/" {
			config.Routes[i].Split = []routing.WeightedService{{Service: "llm", Weight: 1}, {Service: "s", Weight: 1}}
		}
	}
	s.table.Store(routing.NewTable(config))
	_, _, err := get(t, s, "/engine/x", 2000)
	is.True(err != nil) // broken off by the only upstream
	is.Equal(u.requestCount(), 1)
	began := strings.Fields(u.requests[0])[0]
	for i := range 8 {
		status, _ := takeUpUnnamed(t, s, "/engine/x", "q2"+strconv.Itoa(i))
		last := u.requests[len(u.requests)-1]
		if status == http.StatusOK && strings.Fields(last)[0] != began {
			t.Fatalf("the stream that %s began goes on at another service: %q", began, last)
		}
	}
}

// Guards against a stream that goes on at the version of one of the same content that this entry began, while no coordinator
// tells of those that others began.
func TestResume_UnnamedOfRememberedContentWithoutCoordinator(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	one, two := u.startRunners(t, "v1", serveHalf, "u1")[0], u.startRunners(t, "v2", serveRest, "u2")[0]
	s := startEntryWith(t, func(o *Options) { o.Dialect = unnamedDialect{} }, "doc", one)
	_, _, err := get(t, s, "/engine/x", 2000)
	is.True(err != nil) // broken off by the only upstream
	is.NoErr(s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{two}}))
	status, _ := takeUpUnnamed(t, s, "/engine/x", "q2")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(u.requestCount(), 1)
}
