package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/httpserver"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// statedLimits returns the limits that the entry has to report, in requests a second.
func statedLimits(s *Server) []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []float64
	for _, l := range s.core.TakeStatements(s.now()) {
		out = append(out, l.Limit.GetPerSecond())
	}
	return out
}

func TestLimit_NamedOnAnswersOfEachKind(t *testing.T) {
	for name, script := range map[string]func(http.ResponseWriter, *http.Request, int){
		"success": serveOK,
		"stream":  func(w http.ResponseWriter, _ *http.Request, _ int) { writeStream(w, 1, 2, true) },
		"failure": func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(500) },
		"refusal": func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(503)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var u fakeUpstreams
			s := startEntry(t, u.start(t, "u1", func(w http.ResponseWriter, r *http.Request, n int) {
				w.Header().Set("Limit", "0.5")
				script(w, r, n)
			}))
			_, _, err := get(t, s, "/stream/x", 500)
			is.NoErr(err)
			is.Equal(statedLimits(s), []float64{0.5})
			sent := u.requestCount()
			began := time.Now()
			res, _, err := get(t, s, "/safe/x", 500)
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusServiceUnavailable)
			is.True(res.Header.Get("Retry-After") != "")
			is.True(time.Since(began) < 400*time.Millisecond) // at once
			is.Equal(u.requestCount(), sent)
		})
	}
}

func TestLimit_EndsWithAnAnswerOfTheUpstreamOnly(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	state := u.start(t, "u1", func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			w.WriteHeader(502) // of something before it
			return
		}
		serveOK(w, r, n)
	})
	state.Limit = &wire.RateLimit{PerSecond: 2}
	s := startEntry(t, state)
	is.NoErr(s.applyUpdate(&wire.FleetUpdate{Term: 1, Permits: []*wire.PermitGrant{{Upstream: "u1", BornUnixMs: 1, Granted: 2}}}))
	_, _, err := get(t, s, "/unsafe/x", 500)
	is.NoErr(err)
	is.Equal(len(statedLimits(s)), 0)
	_, _, err = get(t, s, "/unsafe/x", 500)
	is.NoErr(err)
	is.Equal(statedLimits(s), []float64{0})
	res, _, err := get(t, s, "/unsafe/x", 500) // without a permit
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
}

// Guards against refusals filling the log, at which callers can aim.
func TestRefusalLog_LinesInOneSecond(t *testing.T) {
	is := is.New(t)
	var l lineLimiter
	for _, second := range []time.Duration{5 * time.Second, 6 * time.Second} {
		lines := 0
		for range 1000 {
			if l.allow(second) {
				lines++
			}
		}
		is.Equal(lines, maxRefusalLines)
	}
}

// Guards against the operator's limits not reaching the listener, and against a header that came within
// its time being refused because it was read a little later.
func TestCallerLimits_OfConfiguration(t *testing.T) {
	is := is.New(t)
	got := callerLimits(routing.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
	is.Equal(got, httpserver.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeout: 3750 * time.Millisecond, IdleTimeout: 15 * time.Second})
	is.Equal(callerLimits(routing.Limits{}), httpserver.Limits{}) // the settings hold
}
