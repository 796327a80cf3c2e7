package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// straggler answers nothing until its caller gives up.
func straggler(_ int, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func TestHedge_SecondUpstreamAnswersAndTheFirstIsCancelled(t *testing.T) {
	u1, u2 := newFakeUpstream(t, "u1", straggler), newFakeUpstream(t, "u2", wholeStream(3))
	slots := newFakeSlots(u1, u2)
	slots.hedgeAfter = 5 * time.Millisecond
	b := newBench(t, slots)
	b.is.Equal(b.stream().body, tokens(3)+"data: [DONE]\n\n")
	b.is.Equal(b.metric("hedges_total"), 1.0)
	eventually(t, "the loser is cancelled", func() bool { return u1.cancelled() == 1 })
	eventually(t, "both slots are back", func() bool { return len(slots.outcomes()) == 2 })
	b.is.True(slots.asks[1].GetHedge())
	b.is.Equal(slots.asks[1].GetExclude(), []string{"u1"})
}

func TestHedge_SuspectRunsAlone(t *testing.T) {
	u1, u2 := newFakeUpstream(t, "u1", straggler), newFakeUpstream(t, "u2", wholeStream(3))
	slots := newFakeSlots(u1, u2)
	slots.hedgeAfter = time.Millisecond
	b := newBench(t, slots)
	b.config.set(suspected(t, false))
	p := b.stream("X-Deadline-Ms", "100").problem(t)
	b.is.Equal(p.Kind, errkind.DeadlineExceeded)
	b.is.Equal(p.Ran, errkind.RanMaybe)
	b.is.Equal(u2.count(), 0)
}

// failing runs requests against an upstream that only fails and returns its calls.
func failing(t *testing.T, requests int) int {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) })
	b := newBench(t, newFakeSlots(u), func(o *Options) { o.RetryBurst = 2 })
	for range requests {
		b.is.Equal(b.stream().status, 502)
	}
	return u.count()
}

func TestRetries_StayWithinTheBudget(t *testing.T) {
	n := failing(t, 40)
	if n < 41 || n > 40+2+4 {
		t.Fatalf("%d calls for 40 requests", n)
	}
}

func TestRetries_WouldMultiplyTheLoadWithoutTheBudget(t *testing.T) {
	set(t, &skipBudget)
	if n := failing(t, 40); n != 40*DefaultMaxAttempts {
		t.Fatalf("%d calls for 40 requests", n)
	}
}

func TestStream_WithoutEndMarkWouldPassAsWholeWithoutTheCheck(t *testing.T) {
	set(t, &skipEndMark)
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, r *http.Request) { sendTokens(w, r, 3) })
	b := newBench(t, newFakeSlots(u))
	b.is.Equal(b.stream().body, tokens(3)+"data: [DONE]\n\n")
}

func TestStream_PartsWithoutPositionAreNotRepeatedByAResume(t *testing.T) {
	const open, usage = "data: {\"role\":\"assistant\"}\n\n", "data: {\"usage\":{}}\n\n"
	u := newFakeUpstream(t, "u1", func(n int, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", contentStream)
		_, _ = io.WriteString(w, ": keep-alive\n\n"+open)
		if n == 0 {
			sendTokens(w, r, 2)
			_, _ = io.WriteString(w, usage)
			cut(w)
		}
		sendTokens(w, r, 4)
		_, _ = io.WriteString(w, usage)
		sendDone(w)
	})
	b := newBench(t, newFakeSlots(u))
	b.is.Equal(b.stream().body, open+tokens(4)+usage+"data: [DONE]\n\n")
}

func TestGrant_FrozenEntryThatWakesAsksAgain(t *testing.T) {
	u := newFakeUpstream(t, "u1", wholeStream(1))
	slots := newFakeSlots(u)
	slots.useBy = 0 // stale when it comes
	b := newBench(t, slots)
	p := b.stream().problem(t)
	b.is.Equal(p.Kind, errkind.NoScheduler)
	b.is.Equal(p.Ran, errkind.RanNo)
	b.is.Equal(u.count(), 0)
	b.is.Equal(len(slots.outcomes()), maxAsks)
	for _, o := range slots.outcomes() {
		b.is.Equal(o, wire.Outcome_OUTCOME_UNUSED)
	}
}

func TestDial_FailureSaysNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	slots := newFakeSlots()
	slots.upstreams["dead"] = ln.Addr().String()
	ln.Close()
	b := newBench(t, slots)
	p := b.stream().problem(t)
	b.is.Equal(p.Kind, errkind.UpstreamFailed)
	b.is.Equal(p.Ran, errkind.RanNo)
}

func TestClientError_OfTheUpstreamIsPassedOnWithoutRetry(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentJSON)
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, `{"error":"context too long"}`)
	})
	b := newBench(t, newFakeSlots(u))
	g := b.stream()
	b.is.Equal(g.status, 400)
	b.is.Equal(g.body, `{"error":"context too long"}`)
	b.is.Equal(u.count(), 1)
}

func TestShutdown_FinishesStreamsRefusesNewOnesAndFailsReadinessFirst(t *testing.T) {
	next := make(chan struct{})
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, r *http.Request) {
		sendTokens(w, r, 1)
		<-next
		_, _ = io.WriteString(w, chunk(1))
		sendDone(w)
	})
	b := newBench(t, newFakeSlots(u), func(o *Options) { o.Settle = 50 * time.Millisecond })
	res, err := b.client.Do(b.request(http.MethodPost, upstream.PathCompletions, streamBody))
	b.is.NoErr(err)
	stopped := make(chan error, 1)
	go func() { stopped <- b.entry.Shutdown(context.Background()) }()
	eventually(t, "readiness fails", func() bool {
		return b.do(b.request(http.MethodGet, pathReady, "")).status == 503
	})
	eventually(t, "new requests are refused", func() bool { return b.entry.draining.Load() })
	p := b.stream().problem(t)
	b.is.Equal(p.Kind, errkind.Draining)
	b.is.Equal(p.Ran, errkind.RanNo)
	close(next)
	body, err := io.ReadAll(res.Body)
	b.is.NoErr(err)
	b.is.Equal(string(body), tokens(2)+"data: [DONE]\n\n")
	b.is.NoErr(<-stopped)
}
