package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

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
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Addr()+"/resume/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", "q2")
	req.Header.Set("Resumes", "q1")
	req.Header.Set("Wait", "8000")
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	<-asked
	return res.StatusCode
}

func TestResume_BegunAtAnotherEntry(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	is.Equal(resumeElsewhere(t, &u, &wire.StreamOrigin{Software: "v2"}), http.StatusOK)
	is.Equal(u.requests, []string{"u2 /resume/x 0"})
}

func TestResume_OriginUnknown(t *testing.T) {
	for name, answer := range map[string]*wire.StreamOrigin{"the coordinator doesn't know": {Unknown: true}, "no answer": nil} {
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

// reborn runs a script on an upstream's address in the place of the process that has ended there.
func (u *fakeUpstreams) reborn(t *testing.T, state *wire.UpstreamState, script handlerScript) {
	t.Helper()
	ln, err := net.Listen("tcp", state.Address)
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		script(w, r, 0)
	})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { srv.Close() })
}

// withPhase returns a copy of an upstream's state in another phase.
func withPhase(state *wire.UpstreamState, phase wire.UpstreamPhase) *wire.UpstreamState {
	s := proto.Clone(state).(*wire.UpstreamState)
	s.Phase = phase
	return s
}

// takeUp sends a request that takes up the stream of the request q1 after an event, and returns the status.
func takeUp(t *testing.T, s *Server, after int) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Addr()+"/resume/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", "q2")
	req.Header.Set("Resumes", "q1")
	req.Header.Set("After", strconv.Itoa(after))
	req.Header.Set("Wait", "8000")
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// serveRest serves a stream of four events from the one after the caller's last on.
func serveRest(w http.ResponseWriter, r *http.Request, _ int) {
	after, _ := strconv.Atoi(r.Header.Get("After"))
	writeStream(w, after+1, 4, true)
}

// An upstream that restarted under its id with other software was taken for the old one until its first heartbeat.
// Streams that it began went on at the old version.
func TestResume_BegunOnUpstreamRestartedWithOtherSoftware(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	one, two, three := u.start(t, "u1", serveOK), u.start(t, "u2", serveRest), u.start(t, "u3", serveRest)
	one.Software, two.Software, three.Software = "v1", "v2", "v1"
	away := wire.UpstreamPhase_PHASE_DRAINING
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	one.Address = ended.Addr().String()
	ended.Close()
	s := startEntry(t, one, withPhase(two, away), withPhase(three, away))
	_, _, _ = get(t, s, "/unsafe/x", 300) // refused

	u.reborn(t, one, func(w http.ResponseWriter, _ *http.Request, _ int) {
		_ = s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{two, three}})
		writeStream(w, 1, 2, false)
	})
	_, body, err := get(t, s, "/resume/x", 2000)
	is.True(err != nil)
	is.Equal(strings.Count(body, "data:"), 2)
	is.Equal(takeUp(t, s, 2), http.StatusServiceUnavailable)
	is.Equal(u.requestCount(), 0)
}

// Streams went on at an upstream that had restarted with other software and had sent no heartbeat yet.
func TestResume_NotAtUpstreamThatMayHaveOtherSoftware(t *testing.T) {
	for other, want := range map[string]int{"v2": http.StatusServiceUnavailable, "v1": http.StatusOK} {
		t.Run("another upstream of "+other, func(t *testing.T) {
			is := is.New(t)
			var u fakeUpstreams
			one, two := u.start(t, "u1", serveOK), u.start(t, "u2", serveOK)
			one.Software, two.Software = "v1", other
			ended, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			one.Address = ended.Addr().String()
			ended.Close()
			s := startEntry(t, one, withPhase(two, wire.UpstreamPhase_PHASE_DRAINING))
			s.origins.memory.Put(0, streamorigin.KeyOf("q1"), "v1")
			_, _, _ = get(t, s, "/unsafe/x", 300) // refused
			u.reborn(t, one, serveRest)
			is.Equal(takeUp(t, s, 2), want)
		})
	}
}

// A stream that an upstream of unknown software wrote, because it had restarted with other software meanwhile, went on
// at the old version as soon as the restart was known.
func TestResume_UpstreamReplacedWithOtherSoftware(t *testing.T) {
	for software, want := range map[string]int{"v2": http.StatusServiceUnavailable, "v1": http.StatusOK} {
		t.Run("new software "+software, func(t *testing.T) {
			is := is.New(t)
			var u fakeUpstreams
			var s *Server
			var one *wire.UpstreamState
			two := u.start(t, "u2", serveRest)
			one = u.start(t, "u1", func(w http.ResponseWriter, r *http.Request, _ int) {
				writeStream(w, 1, 2, true)
				for r.Context().Err() == nil && !s.knowsOrigin("q1") {
					time.Sleep(time.Millisecond)
				}
				next := withPhase(one, wire.UpstreamPhase_PHASE_DRAINING)
				next.BornUnixMs, next.Software = 2, software
				_ = s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{next, two}})
				<-r.Context().Done()
			})
			one.Software, two.Software = "v1", "v1"
			s = startEntry(t, one, withPhase(two, wire.UpstreamPhase_PHASE_DRAINING))
			_, body, err := get(t, s, "/resume/x", 2000)
			is.Equal(err == nil, software == "v1")
			is.Equal(strings.Count(body, "data:") == 4, software == "v1")
			is.Equal(takeUp(t, s, 2), want)
			rep := s.attachReport()
			is.Equal(len(rep.Begun), 1)
			is.Equal(rep.Begun[0].Withdrawn, software == "v2")
		})
	}
}

func (s *Server) knowsOrigin(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.origins.memory.Get(streamorigin.KeyOf(request))
	return ok
}

// The only version that is left says nothing of a stream whose origin was withdrawn.
func TestResume_OriginWithdrawn(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	one := u.start(t, "u1", serveRest)
	one.Software = "v1"
	s := startEntry(t, one)
	s.mu.Lock()
	s.withdrawOrigin(streamorigin.KeyOf("q1"))
	s.mu.Unlock()
	is.Equal(takeUp(t, s, 2), http.StatusServiceUnavailable)
	is.Equal(u.requestCount(), 0)
}

// Without a coordinator, an upstream may restart with other software unnoticed. What streams began on is known only once
// a coordinator has heard of all upstreams.
func TestResume_BegunWithoutCoordinator(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	one, two := u.start(t, "u1", func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.Header.Get("After") != "" {
			serveRest(w, r, 0)
			return
		}
		writeStream(w, 1, 2, false)
	}), u.start(t, "u2", serveRest)
	one.Software, two.Software = "v1", "v2"
	s := startEntry(t, one, withPhase(two, wire.UpstreamPhase_PHASE_DRAINING))
	s.mu.Lock()
	s.core.LoseContact(s.now())
	s.mu.Unlock()
	_, body, err := get(t, s, "/resume/x", 2000)
	is.True(err != nil)
	is.Equal(strings.Count(body, "data:"), 2)
	is.Equal(takeUp(t, s, 2), http.StatusServiceUnavailable)
	is.NoErr(s.applyUpdate(&wire.FleetUpdate{Term: 1, Snapshot: true, Upstreams: []*wire.UpstreamState{one, two}}))
	is.Equal(takeUp(t, s, 2), http.StatusOK)
	is.Equal(u.requests[1:], []string{"u1 /resume/x 2"})
}

// An entry that had just started took the first version that the coordinator had heard of for the only one.
func TestResume_EntryJustStarted(t *testing.T) {
	for other, want := range map[string]int{"v2": http.StatusServiceUnavailable, "v1": http.StatusOK} {
		t.Run("another upstream of "+other, func(t *testing.T) {
			is := is.New(t)
			var u fakeUpstreams
			one, two := u.start(t, "u1", serveRest), u.start(t, "u2", serveRest)
			one.Software, two.Software = "v1", other
			s := startEntry(t, one)
			time.AfterFunc(originTimeout+200*time.Millisecond, func() {
				_ = s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{two}})
			})
			is.Equal(takeUp(t, s, 2), want)
		})
	}
}
