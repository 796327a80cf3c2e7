package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// hangUntilCancelled sends no response before the call is cancelled.
func hangUntilCancelled(_ int, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func TestHedge_SecondUpstreamWins(t *testing.T) {
	u1, u2 := newFakeUpstream(t, "u1", hangUntilCancelled), newFakeUpstream(t, "u2", completeStream(3))
	scheduler := newFakeScheduler(u1, u2)
	scheduler.hedgeAfter = 5 * time.Millisecond
	h := newHarness(t, scheduler)
	h.is.Equal(h.stream().body, tokenEvents(3)+"data: [DONE]\n\n")
	h.is.Equal(h.metric("hedges_total"), 1.0)
	eventually(t, "the loser is cancelled", func() bool { return u1.cancelCount() == 1 })
	eventually(t, "both slots are released", func() bool { return len(scheduler.outcomes()) == 2 })
	h.is.True(scheduler.asks[1].GetHedge())
	h.is.Equal(scheduler.asks[1].GetExclude(), []string{"u1"})
}

func TestHedge_SuspectBody(t *testing.T) {
	u1, u2 := newFakeUpstream(t, "u1", hangUntilCancelled), newFakeUpstream(t, "u2", completeStream(3))
	scheduler := newFakeScheduler(u1, u2)
	scheduler.hedgeAfter = time.Millisecond
	h := newHarness(t, scheduler)
	h.config.set(suspectConfig(t, false))
	p := h.stream("X-Deadline-Ms", "100").problem(t)
	h.is.Equal(p.Kind, errkind.DeadlineExceeded)
	h.is.Equal(p.Ran, errkind.RanMaybe)
	h.is.Equal(u2.callCount(), 0)
}

// callsToFailingUpstream sends requests to an upstream that always fails and returns the
// number of calls that it gets.
func callsToFailingUpstream(t *testing.T, requests int) int {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) })
	h := newHarness(t, newFakeScheduler(u), func(o *Options) { o.RetryBurst = 2 })
	for range requests {
		h.is.Equal(h.stream().status, 502)
	}
	return u.callCount()
}

func TestRetries_BudgetExhausted(t *testing.T) {
	n := callsToFailingUpstream(t, 40)
	if n < 41 || n > 40+2+4 {
		t.Fatalf("%d calls for 40 requests", n)
	}
}

// Shows that the budget is what limits the retries: without it each request is sent the
// maximum number of times.
func TestRetries_BudgetDisabled(t *testing.T) {
	disable(t, &skipBudget)
	if n := callsToFailingUpstream(t, 40); n != 40*DefaultMaxAttempts {
		t.Fatalf("%d calls for 40 requests", n)
	}
}

// Shows that the check of the end mark is what detects the truncated stream.
func TestStream_NoEndMarkCheckDisabled(t *testing.T) {
	disable(t, &skipEndMark)
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, r *http.Request) { sendTokens(w, r, 3) })
	h := newHarness(t, newFakeScheduler(u))
	h.is.Equal(h.stream().body, tokenEvents(3)+"data: [DONE]\n\n")
}

func TestStream_UnindexedChunksOnResume(t *testing.T) {
	const open, usage = "data: {\"role\":\"assistant\"}\n\n", "data: {\"usage\":{}}\n\n"
	u := newFakeUpstream(t, "u1", func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", contentStream)
		_, _ = io.WriteString(w, ": keep-alive\n\n"+open)
		if n == 0 {
			sendTokens(w, r, 2)
			_, _ = io.WriteString(w, usage)
			abortConnection(w)
		}
		sendTokens(w, r, 4)
		_, _ = io.WriteString(w, usage)
		sendEndMark(w)
	})
	h := newHarness(t, newFakeScheduler(u))
	h.is.Equal(h.stream().body, open+tokenEvents(4)+usage+"data: [DONE]\n\n")
}

func TestGrant_ExpiredOnArrival(t *testing.T) {
	u := newFakeUpstream(t, "u1", completeStream(1))
	scheduler := newFakeScheduler(u)
	scheduler.useBy = 0 // expired on arrival
	h := newHarness(t, scheduler)
	p := h.stream().problem(t)
	h.is.Equal(p.Kind, errkind.NoScheduler)
	h.is.Equal(p.Ran, errkind.RanNo)
	h.is.Equal(u.callCount(), 0)
	h.is.Equal(len(scheduler.outcomes()), maxSlotRequests)
	for _, o := range scheduler.outcomes() {
		h.is.Equal(o, wire.Outcome_OUTCOME_UNUSED)
	}
}

// Guards against an expired grant that counts as a failure of its upstream, when the
// transport reports that it closed the connection and not the write that was refused.
func TestGrant_ExpiredOnArrival_ClosedConnectionReported(t *testing.T) {
	is := is.New(t)
	c := &call{grant: &wire.Grant{}, gate: &sendGate{now: time.Now, useBy: time.Now()}}
	is.True(!c.gate.allowWrite())
	f := c.transportFailure(net.ErrClosed)
	is.True(f.unsent)
	is.True(f.stale)
}

// A connection that ends before the first write is a failure of the upstream.
func TestGrant_ConnectionEndsBeforeWrite(t *testing.T) {
	is := is.New(t)
	c := &call{grant: &wire.Grant{}, gate: &sendGate{now: time.Now, useBy: time.Now().Add(time.Minute)}}
	f := c.transportFailure(net.ErrClosed)
	is.True(f.unsent)
	is.True(!f.stale)
}

func TestDial_ConnectionRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	scheduler := newFakeScheduler()
	scheduler.upstreams["dead"] = ln.Addr().String()
	ln.Close()
	h := newHarness(t, scheduler)
	p := h.stream().problem(t)
	h.is.Equal(p.Kind, errkind.UpstreamFailed)
	h.is.Equal(p.Ran, errkind.RanNo)
}

func TestClientError_FromUpstream(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentJSON)
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, `{"error":"context too long"}`)
	})
	h := newHarness(t, newFakeScheduler(u))
	res := h.stream()
	h.is.Equal(res.status, 400)
	h.is.Equal(res.body, `{"error":"context too long"}`)
	h.is.Equal(u.callCount(), 1)
}

func TestShutdown_StreamInProgress(t *testing.T) {
	next := make(chan struct{})
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, r *http.Request) {
		sendTokens(w, r, 1)
		<-next
		_, _ = io.WriteString(w, tokenEvent(1))
		sendEndMark(w)
	})
	h := newHarness(t, newFakeScheduler(u), func(o *Options) { o.DrainSettle = 50 * time.Millisecond })
	res, err := h.client.Do(h.newRequest(http.MethodPost, upstream.PathCompletions, streamBody))
	h.is.NoErr(err)
	stopped := make(chan error, 1)
	go func() { stopped <- h.entry.Shutdown(context.Background()) }()
	eventually(t, "readiness fails", func() bool {
		return h.roundTrip(h.newRequest(http.MethodGet, pathReady, "")).status == 503
	})
	eventually(t, "new requests are refused", func() bool { return h.entry.draining.Load() })
	p := h.stream().problem(t)
	h.is.Equal(p.Kind, errkind.Draining)
	h.is.Equal(p.Ran, errkind.RanNo)
	close(next)
	body, err := io.ReadAll(res.Body)
	h.is.NoErr(err)
	h.is.Equal(string(body), tokenEvents(2)+"data: [DONE]\n\n")
	h.is.NoErr(<-stopped)
}
