package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

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
