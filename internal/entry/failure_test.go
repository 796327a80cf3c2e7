package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// set turns a mechanism off for one test.
func set(t *testing.T, flag *bool) {
	*flag = true
	t.Cleanup(func() { *flag = false })
}

func TestStream_CutInMidAnswerIsResumedElsewhereWithoutGapOrRepeat(t *testing.T) {
	u1 := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, r *http.Request) {
		sendTokens(w, r, 3)
		cut(w)
	})
	u2 := newFakeUpstream(t, "u2", wholeStream(6))
	b := newBench(t, newFakeSlots(u1, u2))
	g := b.stream()
	b.is.Equal(g.body, tokens(6)+"data: [DONE]\n\n")
	b.is.Equal(u2.calls[0].Header.Get(upstream.HeaderResume), "3")
	b.is.Equal(b.metric("resumed_total"), 1.0)
	b.is.Equal(b.metric("retries_total"), 1.0)
}

func TestStream_WithoutEndMarkIsNeverPassedAsWhole(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, r *http.Request) { sendTokens(w, r, 3) })
	b := newBench(t, newFakeSlots(u), func(o *Options) { o.MaxAttempts = 1 })
	g := b.stream()
	b.is.True(!strings.Contains(g.body, "[DONE]"))
	p := g.streamProblem(t)
	b.is.Equal(p.Kind, errkind.Interrupted)
	b.is.Equal(p.Ran, errkind.RanMaybe)
}

func TestStream_RepeatedOrMissingTokenInterruptsTheAttempt(t *testing.T) {
	for name, second := range map[string]int{"repeat": 0, "gap": 2} {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", contentStream)
				_, _ = io.WriteString(w, chunk(0)+chunk(second))
				sendDone(w)
			})
			b := newBench(t, newFakeSlots(u), func(o *Options) { o.MaxAttempts = 1 })
			b.is.Equal(b.stream().streamProblem(t).Kind, errkind.Interrupted)
		})
	}
}

// crossed answers the first call under another attempt's identity.
func crossed(t *testing.T) *fakeUpstream {
	return newFakeUpstream(t, "u1", func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			w.Header().Set(upstream.HeaderAttempt, "somebody-else")
			w.Header().Set("Content-Type", contentStream)
			_, _ = io.WriteString(w, "data: {\"text\":\"secret\",\"index_token\":0}\n\n")
			sendDone(w)
			return
		}
		sendTokens(w, r, 2)
		sendDone(w)
	})
}

// oneTokenThenCut sends one token and breaks off.
func oneTokenThenCut(_ int, w http.ResponseWriter, r *http.Request) {
	sendTokens(w, r, 1)
	cut(w)
}

func TestAnswer_OfAnotherAttemptIsDroppedAndCounted(t *testing.T) {
	b := newBench(t, newFakeSlots(crossed(t)))
	g := b.stream()
	b.is.Equal(g.body, tokens(2)+"data: [DONE]\n\n")
	b.is.Equal(b.metric("late_answers_total"), 1.0)
}

func TestAnswer_OfAnotherAttemptWouldReachTheCallerWithoutTheIdentityCheck(t *testing.T) {
	set(t, &skipIdentity)
	b := newBench(t, newFakeSlots(crossed(t)))
	b.is.True(strings.Contains(b.stream().body, "secret"))
}

func TestJSON_CutAnswerIsRetriedAndNeverPassedOn(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(n int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentJSON)
		if n == 0 {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"half":`)
			cut(w)
		}
		_, _ = io.WriteString(w, `{"whole":true}`)
	})
	b := newBench(t, newFakeSlots(u))
	b.is.Equal(b.post(upstream.PathCompletions, jsonBody).body, `{"whole":true}`)
	b.is.Equal(u.count(), 2)
}

func TestRefusal_ByTheUpstreamBeforeRunningSaysNotRun(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	b := newBench(t, newFakeSlots(u))
	p := b.stream().problem(t)
	b.is.Equal(p.Kind, errkind.UpstreamRefused)
	b.is.Equal(p.Ran, errkind.RanNo)
	b.is.True(p.RetryAfterMs > 0)
	b.is.Equal(b.slots.outcomes()[0], wire.Outcome_OUTCOME_REFUSED)
}

func TestFailure_AfterTheRequestWasWrittenNeverSaysNotRun(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) })
	b := newBench(t, newFakeSlots(u))
	p := b.stream().problem(t)
	b.is.Equal(p.Kind, errkind.UpstreamFailed)
	b.is.Equal(p.Ran, errkind.RanMaybe)
	b.is.Equal(u.count(), DefaultMaxAttempts)
}

func TestRefusal_ByTheSchedulerSaysNotRun(t *testing.T) {
	b := newBench(t, newFakeSlots())
	b.slots.refuse = func(*wire.Ask) *errkind.Error { return errkind.New(errkind.QueueFull, "full") }
	g := b.stream()
	b.is.Equal(g.status, 429)
	b.is.Equal(g.header.Get("Retry-After"), "1")
	b.is.Equal(g.header.Get("Content-Type"), contentProblem)
	p := g.problem(t)
	b.is.Equal(p.Kind, errkind.QueueFull)
	b.is.Equal(p.Ran, errkind.RanNo)
	b.is.Equal(p.RequestID, g.header.Get(headerRequest))
}

func TestDeadline_WhileWaitingForASlotSaysNotRun(t *testing.T) {
	b := newBench(t, newFakeSlots())
	b.slots.hold = make(chan struct{})
	p := b.stream("X-Deadline-Ms", "30").problem(t)
	b.is.True(p.Kind == errkind.DeadlineExceeded || p.Kind == errkind.NoScheduler)
	b.is.Equal(p.Ran, errkind.RanNo)
}

func TestCaller_LeavingInMidStreamCancelsTheUpstreamAndFreesTheSlot(t *testing.T) {
	gone := make(chan struct{})
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, r *http.Request) {
		sendTokens(w, r, 1)
		<-r.Context().Done()
		close(gone)
	})
	b := newBench(t, newFakeSlots(u))
	res, err := b.client.Do(b.request(http.MethodPost, upstream.PathCompletions, streamBody))
	b.is.NoErr(err)
	_, err = io.ReadFull(res.Body, make([]byte, len(chunk(0))))
	b.is.NoErr(err)
	res.Body.Close()
	<-gone // the upstream's call ended
	eventually(t, "the upstream is told to cancel", func() bool { return u.cancelled() == 1 })
	eventually(t, "the slot is given back", func() bool { return len(b.slots.outcomes()) == 1 })
	b.is.Equal(b.slots.outcomes()[0], wire.Outcome_OUTCOME_CANCELLED)
	eventually(t, "no handler is left", func() bool { return b.entry.http.InFlight() == 0 })
	b.is.Equal(b.entry.open.Load(), int64(0))
}

func TestCaller_LeavingWhileItWaitsTakesTheAskBack(t *testing.T) {
	b := newBench(t, newFakeSlots())
	b.slots.hold = make(chan struct{})
	b.client.Timeout = 0
	left := make(chan struct{})
	go func() {
		defer close(left)
		r := b.request(http.MethodPost, upstream.PathCompletions, streamBody)
		ctx, cancel := contextCancelledWhen(func() bool { return b.slots.isWaiting() == 1 })
		defer cancel()
		if res, err := b.client.Do(r.WithContext(ctx)); err == nil {
			res.Body.Close()
		}
	}()
	<-left
	eventually(t, "the ask ends", func() bool { return b.slots.isWaiting() == 0 })
	eventually(t, "the request is settled", func() bool { return b.entry.open.Load() == 0 })
}
