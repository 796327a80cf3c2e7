package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// A caller that repeats a request id after a failed attempt of its own (the protocol forbids it): the coordinator still names
// the version of the withdrawn announcement when the second request's first event is out and its own announcement is not.
func TestReview2_RepeatedIDLeavesWithdrawnVersion(t *testing.T) {
	is := is.New(t)
	var u fakeUpstreams
	var s *Server
	coordinator := streamorigin.NewMemory(100)
	first := ""
	s = startTwoVersions(t, &u, func(w http.ResponseWriter, r *http.Request, n int) {
		version := map[string]string{"u1": "v1", "u2": "v2"}[r.Header.Get("Upstream")]
		if first == "" {
			first = version
			for _, o := range takeAnnounced(s).Begun {
				coordinator.Put(0, streamorigin.Key(o.Request), o.Software)
			}
		}
		if version == first {
			panic(http.ErrAbortHandler)
		}
		serveRest(w, r, n)
	})
	for range 6 { // the caller sends q1 again until it gets events
		_, body, _ := get(t, s, "/engine/x", 900)
		if strings.Count(body, "data:") == 0 {
			continue
		}
		known, ok := coordinator.Get(streamorigin.KeyOf("q1")) // the entry is killed now
		is.True(!ok || known != first)                         // the events are of the other version
		return
	}
	t.Skip("no events came")
}

// A signal that the goroutine of the stream before takes is lost, and the announcement stays unsent at the next stream.
func TestReview2_SignalLostAtReattach(t *testing.T) {
	lost := 0
	for range 40 {
		s := startTwoVersions(t, &fakeUpstreams{}, serveRest)
		old, cancel := context.WithCancel(context.Background())
		cancel() // the stream before has ended; its goroutine was not scheduled yet
		s.attachReport()
		s.mu.Lock()
		var a announcement
		s.origins.announcements.put(1, "v1", &a)
		s.mu.Unlock()
		s.announceSignal <- struct{}{}
		s.sendAnnouncements(old, &reportStream{}) // scheduled now
		ctx, end := context.WithTimeout(context.Background(), 60*time.Millisecond)
		sent := &sentReports{}
		s.sendAnnouncements(ctx, &reportStream{stream: sent})
		end()
		if sent.count == 0 {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of 40 announcements were not sent", lost)
	}
}

type sentReports struct {
	ctlclient.AttachStream
	count int
}

func (r *sentReports) Send(rep *wire.EntryReport) error {
	r.count += len(rep.Begun)
	return nil
}

// After a change of coordinator and one announcement of another version, the request may not begin at the version announced
// first either, though no coordinator that it was sent to last names another one: every later attempt runs for nothing.
func TestReview2_FirstVersionRefusedAfterReattach(t *testing.T) {
	s := startTwoVersions(t, &fakeUpstreams{}, serveRest)
	x := &exchange{server: s}
	announce := func(software string) *slot {
		s.mu.Lock()
		s.origins.announcements.put(1, software, &x.announced)
		s.mu.Unlock()
		if err := answerAnnounced(s, takeAnnounced(s)); err != nil {
			t.Fatal(err)
		}
		return &slot{target: &dispatch.Target{Software: software}}
	}
	announce("v1") // to the first coordinator
	s.attachReport()
	announce("v2") // to the next one only; refused unrun, for example
	if err := x.confirmOrigin(context.Background(), announce("v1")); err != nil {
		t.Error(err) // the first one knows v1, the next one has confirmed v1
	}
}

// With so many entries that an announcement waits for half a second, none can be confirmed in time.
func TestReview2_ConfirmationWithManyEntries(t *testing.T) {
	s := startTwoVersions(t, &fakeUpstreams{}, serveRest)
	s.entryCount.Store(2400) // 600 ms
	s.mu.Lock()
	var a announcement
	s.origins.announcements.put(1, "v1", &a)
	s.mu.Unlock()
	s.announceSignal <- struct{}{}
	ctx, end := context.WithTimeout(context.Background(), originTimeout)
	defer end()
	sent := &sentReports{}
	s.sendAnnouncements(ctx, &reportStream{stream: sent})
	if sent.count == 0 {
		t.Errorf("nothing was sent within %v", originTimeout)
	}
}

// The first upstream refuses the request unrun, while the coordinator is silent (for less than a second): measures what the
// caller gets, and after how long.
func TestReview2_RefusedUnrunWhileCoordinatorIsSilent(t *testing.T) {
	var u fakeUpstreams
	var s *Server
	s = startTwoVersions(t, &u, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			takeAnnounced(s) // sent 4 ms after the request
			w.Header().Set("Not-Run", "yes")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		serveRest(w, r, n)
	})
	began := time.Now()
	res, body, err := get(t, s, "/engine/x", 2000)
	status := 0
	if err == nil {
		status = res.StatusCode
	}
	t.Logf("status %d, %d events, %v, requests at upstreams: %d", status, strings.Count(body, "data:"), time.Since(began).Round(time.Millisecond), u.requestCount())
	if strings.Count(body, "data:") != 4 {
		t.Error("the request that one upstream refused unrun was not served by the other")
	}
}

// Callers that leave, attachments and answers in any order leave nothing behind.
func TestReview2_NothingLeftBehind(t *testing.T) {
	var u fakeUpstreams
	var s *Server
	s = startTwoVersions(t, &u, func(w http.ResponseWriter, r *http.Request, n int) {
		time.Sleep(time.Duration(n%7) * time.Millisecond)
		switch n % 4 {
		case 0:
			panic(http.ErrAbortHandler)
		case 1:
			w.Header().Set("Not-Run", "yes")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			serveRest(w, r, n)
		}
	})
	done := make(chan struct{})
	var helper sync.WaitGroup
	helper.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
			rep := takeAnnounced(s)
			if i%5 != 0 {
				_ = answerAnnounced(s, rep)
			}
			if i%40 == 0 {
				s.attachReport()
			}
		}
	})
	var callers sync.WaitGroup
	for c := range 8 {
		callers.Go(func() {
			for i := range 60 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+(i*7+c)%40)*time.Millisecond)
				req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr()+"/engine/x", nil)
				req.Host = "h.example"
				req.Header.Set("Id", fmt.Sprintf("c%d-%d", c, i))
				req.Header.Set("Wait", "1000")
				if res, err := http.DefaultTransport.RoundTrip(req); err == nil {
					buf := make([]byte, 4096)
					for _, err := res.Body.Read(buf); err == nil; _, err = res.Body.Read(buf) {
					}
					res.Body.Close()
				}
				cancel()
			}
		})
	}
	callers.Wait()
	time.Sleep(1500 * time.Millisecond)
	close(done)
	helper.Wait()
	takeAnnounced(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.origins.announcements
	if len(l.software)+len(l.unsent)+len(l.unconfirmed) != 0 {
		t.Errorf("left behind: %d announced, %d unsent, %d unconfirmed", len(l.software), len(l.unsent), len(l.unconfirmed))
	}
}
