package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// startTwoVersions starts an entry with one upstream of each of two software versions, which the coordinator lists.
func startTwoVersions(t *testing.T, u *fakeUpstreams, script handlerScript) *Server {
	t.Helper()
	states := append(u.startRunners(t, "v1", script, "u1"), u.startRunners(t, "v2", script, "u2")...)
	s := startEntry(t, states...)
	err := s.applyUpdate(&wire.FleetUpdate{Term: 1, HasSoftware: true, Software: []*wire.ServiceSoftware{{Service: "llm", Version: "v1"}, {Service: "llm", Version: "v2"}}})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// takeAnnounced returns the announcements to be sent, as sendAnnouncements takes them.
func takeAnnounced(s *Server) *wire.EntryReport {
	rep := &wire.EntryReport{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.announcements.take(rep)
	return rep
}

// answerAnnounced answers the questions of a report like a coordinator that has applied it.
func answerAnnounced(s *Server, rep *wire.EntryReport) error {
	up := &wire.FleetUpdate{Term: 1}
	for _, o := range rep.Begun {
		for _, asked := range rep.OriginsAsked {
			if asked == o.Request {
				up.Origins = append(up.Origins, &wire.StreamOrigin{Request: o.Request, Software: o.Software})
			}
		}
	}
	return s.applyUpdate(up)
}

// An entry that was killed after the first event of a stream had told nobody which software began it.
func TestAnnounce_BeforeTheFirstEvent(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	var s *Server
	var rep *wire.EntryReport
	s = startTwoVersions(t, &u, func(w http.ResponseWriter, r *http.Request, n int) {
		rep = takeAnnounced(s)
		serveRest(w, r, n)
	})
	_, body, err := get(t, s, "/engine/x", 2000)
	is.NoErr(err)
	is.Equal(strings.Count(body, "data:"), 4)
	is.Equal(len(rep.Begun), 1)
	is.Equal(rep.Begun[0].Request, uint64(streamorigin.KeyOf("q1")))
	is.Equal(rep.Begun[0].Software, map[string]string{"u1": "v1", "u2": "v2"}[strings.Fields(u.requests[0])[0]])
	is.Equal(len(rep.OriginsAsked), 0) // so that the first event waits for nothing
	later := &wire.EntryReport{}
	s.mu.Lock()
	s.origins.takeOrigins(later)
	s.mu.Unlock()
	is.Equal(len(later.Begun), 0) // not reported twice
}

// While one version runs, nothing is announced: an entry that doesn't know the origin goes on at the only one.
func TestAnnounce_NotWithOneVersion(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	var s *Server
	announced := 0
	s = startEntry(t, u.startRunners(t, "v1", func(w http.ResponseWriter, r *http.Request, n int) {
		announced += len(takeAnnounced(s).Begun)
		serveRest(w, r, n)
	}, "u1")...)
	_, _, err := get(t, s, "/engine/x", 2000)
	is.NoErr(err)
	is.Equal(announced, 0)
}

// beginAtSecond lets the first upstream that gets a request end without an answer, so that it goes to the other version. The
// function given is called by both, with the announcements that were sent by then.
func beginAtSecond(t *testing.T, during func(s *Server, rep *wire.EntryReport, isFirst bool)) (u *fakeUpstreams, events int) {
	t.Helper()
	u = &fakeUpstreams{}
	var s *Server
	s = startTwoVersions(t, u, func(w http.ResponseWriter, r *http.Request, n int) {
		during(s, takeAnnounced(s), n == 1)
		if n == 1 {
			panic(http.ErrAbortHandler)
		}
		serveRest(w, r, n)
	})
	_, body, _ := get(t, s, "/engine/x", 3000)
	return u, strings.Count(body, "data:")
}

// Guards against a stream that begins at one version and is known as one of another, which was announced for an attempt
// before: killed then, its entry would let it go on there.
func TestAnnounce_OtherVersionWaitsForTheCoordinator(t *testing.T) {
	is := is.New(t)
	u, events := beginAtSecond(t, func(*Server, *wire.EntryReport, bool) {})
	is.Equal(events, 0) // no coordinator has confirmed it
	is.True(u.requestCount() >= 2)

	var isConfirmed atomic.Bool
	const delay = 200 * time.Millisecond
	_, events = beginAtSecond(t, func(s *Server, rep *wire.EntryReport, isFirst bool) {
		is.Equal(len(rep.Begun), 1)
		is.Equal(len(rep.OriginsAsked) == 1, !isFirst)
		if !isFirst {
			go func() {
				time.Sleep(delay)
				isConfirmed.Store(true)
				_ = answerAnnounced(s, rep)
			}()
		}
	})
	is.Equal(events, 4)
	is.True(isConfirmed.Load()) // the events came after it
}

// A coordinator that knows the second version doesn't show that the one before it is not asked any more.
func TestAnnounce_CoordinatorChangesBetweenTwoVersions(t *testing.T) {
	is := is.New(t)
	_, events := beginAtSecond(t, func(s *Server, rep *wire.EntryReport, isFirst bool) {
		if isFirst {
			attached := s.attachReport()
			is.Equal(len(attached.Begun), 1)
			is.Equal(attached.Begun[0].Software, rep.Begun[0].Software)
		} else {
			is.NoErr(answerAnnounced(s, rep))
		}
	})
	is.Equal(events, 0)
}

// Without a coordinator, an attempt that failed is made at another version at once, as nothing can have been announced.
func TestAnnounce_NotWithoutCoordinator(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	var s *Server
	s = startTwoVersions(t, &u, func(w http.ResponseWriter, r *http.Request, n int) {
		is.Equal(len(s.attachReport().Begun), 0) // to a coordinator that does not answer
		if n == 1 {
			panic(http.ErrAbortHandler)
		}
		serveRest(w, r, n)
	})
	s.lastUpdate.Store(int64(s.now() - 2*streamTimeout))
	began := time.Now()
	_, body, err := get(t, s, "/engine/x", 3000)
	is.NoErr(err)
	is.Equal(strings.Count(body, "data:"), 4)
	is.True(time.Since(began) < originTimeout)
}

// What was announced and not sent needs no confirmation.
func TestAnnounce_OtherVersionBeforeTheFirstWasSent(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	s := startTwoVersions(t, &u, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			panic(http.ErrAbortHandler)
		}
		serveRest(w, r, n)
	})
	began := time.Now()
	_, body, err := get(t, s, "/engine/x", 3000)
	is.NoErr(err)
	is.Equal(strings.Count(body, "data:"), 4)
	is.True(time.Since(began) < originTimeout)
	rep := takeAnnounced(s)
	is.Equal(len(rep.Begun), 1)
	is.Equal(rep.Begun[0].Software, map[string]string{"u1": "v1", "u2": "v2"}[strings.Fields(u.requests[1])[0]])
}

// A stream that was announced is not begun by a process of which nothing is published.
func TestAnnounce_NotBegunByProcessNotPublished(t *testing.T) {
	is := is.New(t)
	u := &fakeUpstreams{born: map[string]string{}}
	var s *Server
	s = startTwoVersions(t, u, func(w http.ResponseWriter, r *http.Request, n int) {
		u.mu.Lock()
		u.born["u1"], u.born["u2"] = "2", "2"
		u.mu.Unlock()
		takeAnnounced(s)
		panic(http.ErrAbortHandler)
	})
	_, body, _ := get(t, s, "/engine/x", 2000)
	is.Equal(strings.Count(body, "data:"), 0)
	is.Equal(u.requestCount(), 1)
}

// An answer to an earlier question doesn't confirm the same version announced again after another one.
func TestAnnouncements_AnswersToEarlierQuestions(t *testing.T) {
	is := is.New(t)
	l := newAnnouncements()
	var a announcement
	const key = streamorigin.Key(1)
	announce := func(software string) {
		is.True(l.put(key, software, &a))
		l.take(&wire.EntryReport{})
	}
	isConfirmed := func() bool {
		select {
		case <-a.confirmed.done:
			return true
		default:
			return false
		}
	}
	answer := func(software string) { is.True(l.answer(key, &wire.StreamOrigin{Request: 1, Software: software})) }
	announce("v1")
	is.Equal(a.confirmed, nil)
	announce("v2")
	announce("v1")
	announce("v2")
	answer("v2")
	is.True(!isConfirmed())
	answer("v1")
	is.True(!isConfirmed())
	answer("v2")
	is.True(isConfirmed())
	l.settle(key)
	is.True(!l.answer(key, &wire.StreamOrigin{Request: 1, Software: "v2"}))
	is.Equal(len(l.software)+len(l.unsent)+len(l.unconfirmed), 0)
}
