package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// answerOrigins answers each question for an origin as the coordinator, with what the entry has reported so far and what it was told before.
func answerOrigins(t *testing.T, s *Server, known *streamorigin.Memory) {
	stop := make(chan struct{})
	done := make(chan struct{})
	t.Cleanup(func() { close(stop); <-done })
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-s.reportSignal:
			}
			s.mu.Lock()
			rep := &wire.EntryReport{}
			s.origins.takeOrigins(rep)
			s.mu.Unlock()
			for _, o := range rep.Begun {
				known.Put(0, streamorigin.Key(o.Request), o.Software)
			}
			up := &wire.FleetUpdate{Term: 1}
			for _, key := range rep.OriginsAsked {
				software, ok := known.Get(streamorigin.Key(key))
				up.Origins = append(up.Origins, &wire.StreamOrigin{Request: key, Software: software, Unknown: !ok})
			}
			_ = s.applyUpdate(up)
		}
	}()
}

// Guards against a stream that began at a process of which nothing is published and goes on at the version of an earlier stream with the
// same content.
func TestResume_ContentBegunByProcessNotPublishedAfterAnotherStream(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	var s *Server
	two := u.startRunners(t, "v1", serveRest, "u2")[0]
	count := 0
	one := u.startRunners(t, "v1", func(w http.ResponseWriter, r *http.Request, n int) {
		if count++; count == 1 {
			w.Header().Set("Connection", "close") // as at the end of the process
			serveRest(w, r, n)
			return
		}
		_ = s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{two}})
		serveHalf(w, r, n)
	}, "u1")[0]
	s = startEntryWith(t, func(o *Options) { o.Dialect = unnamedDialect{} }, "doc", one)
	answerOrigins(t, s, streamorigin.NewMemory(100))
	_, body, err := getAs(t, s, "q1", "/engine/x", 2000)
	is.NoErr(err)
	is.Equal(strings.Count(body, "data:"), 4)
	u.mu.Lock()
	u.born = map[string]string{"u1": "2"} // u1 restarts, as v2
	u.mu.Unlock()
	_, body, err = getAs(t, s, "q2", "/engine/x", 2000)
	is.True(err != nil)
	is.Equal(strings.Count(body, "data:"), 2)
	status, _ := takeUpUnnamed(t, s, "/engine/x", "q3")
	is.Equal(status, http.StatusServiceUnavailable) // events 1 and 2 are of v2, of which nothing is published; u2 runs v1
	reborn := proto.Clone(one).(*wire.UpstreamState)
	reborn.BornUnixMs, reborn.Software = 2, "v2"
	is.NoErr(s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{reborn}}))
}

// Guards against a stream that goes on at the version of another stream of the same content, since no coordinator answers that knows of its own.
func TestResume_ContentNoCoordinatorAnswers(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	one := u.startRunners(t, "v1", serveRest, "u1")[0]
	two := u.startRunners(t, "v2", serveRest, "u2")[0]
	s := startEntryWith(t, func(o *Options) { o.Dialect = unnamedDialect{} }, "doc", one)
	_, body, err := getAs(t, s, "q1", "/engine/x", 2000) // at v1, whole
	is.NoErr(err)
	is.Equal(strings.Count(body, "data:"), 4)
	is.NoErr(s.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{two}}))
	// Another caller's stream of the same content began at v2 at another entry.
	status, _ := takeUpUnnamed(t, s, "/engine/x", "q3")
	is.Equal(status, http.StatusServiceUnavailable)
}

// Guards against a stream whose own origin was lost with its entry, and that goes on at the version of an earlier stream with the same content.
func TestResume_ContentOwnOriginLostWithItsEntry(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	one := u.startRunners(t, "v1", serveRest, "u1")[0]
	two := u.startRunners(t, "v2", serveHalf, "u2")[0]
	known := streamorigin.NewMemory(100)
	first := startEntryWith(t, func(o *Options) { o.Dialect = unnamedDialect{} }, "doc", one)
	answerOrigins(t, first, known)
	_, _, err := getAs(t, first, "q1", "/engine/x", 2000) // at v1, whole
	is.NoErr(err)
	killed := startEntryWith(t, func(o *Options) { o.Dialect = unnamedDialect{} }, "doc", two)
	_, body, err := getAs(t, killed, "q2", "/engine/x", 2000) // at v2; nothing of it is reported
	is.True(err != nil)
	is.Equal(strings.Count(body, "data:"), 2)
	is.NoErr(first.applyUpdate(&wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{two}}))
	status, _ := takeUpUnnamed(t, first, "/engine/x", "q3")
	is.Equal(status, http.StatusServiceUnavailable)
}
