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

// disable sets a skip switch for one test.
func disable(t *testing.T, flag *bool) {
	*flag = true
	t.Cleanup(func() { *flag = false })
}

func TestStream_CutAndResumedOnAnotherUpstream(t *testing.T) {
	u1 := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, r *http.Request) {
		sendTokens(w, r, 3)
		abortConnection(w)
	})
	u2 := newFakeUpstream(t, "u2", completeStream(6))
	h := newHarness(t, newFakeScheduler(u1, u2))
	res := h.stream()
	h.is.Equal(res.body, tokenEvents(6)+"data: [DONE]\n\n")
	h.is.Equal(u2.calls[0].Header.Get(upstream.HeaderResume), "3")
	h.is.Equal(h.metric("resumed_total"), 1.0)
	h.is.Equal(h.metric("retries_total"), 1.0)
}

// The machine of u1 vanishes: its connection stays open and nothing arrives on it.
func TestStream_UpstreamRestartsWithoutClosing(t *testing.T) {
	var s *fakeScheduler
	u1 := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, r *http.Request) {
		sendTokens(w, r, 3)
		w.(http.Flusher).Flush()
		s.upstreamRestarted("u1")
		<-r.Context().Done()
	})
	u2 := newFakeUpstream(t, "u2", completeStream(6))
	s = newFakeScheduler(u1, u2)
	h := newHarness(t, s)
	res := h.stream()
	h.is.Equal(res.body, tokenEvents(6)+"data: [DONE]\n\n")
	// A run that was cut is cancelled at its upstream before its slot is released.
	eventually(t, "both slots are released", func() bool { return len(s.outcomes()) == 2 })
	h.is.Equal(s.outcomesByUpstream(), map[string]wire.Outcome{"u1": wire.Outcome_OUTCOME_CUT, "u2": wire.Outcome_OUTCOME_OK})
}

func TestStream_NoEndMark(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, r *http.Request) { sendTokens(w, r, 3) })
	h := newHarness(t, newFakeScheduler(u), func(o *Options) { o.MaxAttempts = 1 })
	res := h.stream()
	h.is.True(!strings.Contains(res.body, "[DONE]"))
	p := res.streamProblem(t)
	h.is.Equal(p.Kind, errkind.Interrupted)
	h.is.Equal(p.Ran, errkind.RanMaybe)
}

func TestStream_RepeatedOrMissingToken(t *testing.T) {
	for name, second := range map[string]int{"repeat": 0, "gap": 2} {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", contentStream)
				_, _ = io.WriteString(w, tokenEvent(0)+tokenEvent(second))
				sendEndMark(w)
			})
			h := newHarness(t, newFakeScheduler(u), func(o *Options) { o.MaxAttempts = 1 })
			h.is.Equal(h.stream().streamProblem(t).Kind, errkind.Interrupted)
		})
	}
}

// misroutingUpstream returns an upstream whose first response carries another attempt's
// id.
func misroutingUpstream(t *testing.T) *fakeUpstream {
	return newFakeUpstream(t, "u1", func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			w.Header().Set(upstream.HeaderAttempt, "somebody-else")
			w.Header().Set("Content-Type", contentStream)
			_, _ = io.WriteString(w, "data: {\"text\":\"secret\",\"index_token\":0}\n\n")
			sendEndMark(w)
			return
		}
		sendTokens(w, r, 2)
		sendEndMark(w)
	})
}

// oneTokenThenCut sends one token and aborts the connection.
func oneTokenThenCut(_ int, w http.ResponseWriter, r *http.Request) {
	sendTokens(w, r, 1)
	abortConnection(w)
}

func TestResponse_ToAnotherAttempt(t *testing.T) {
	h := newHarness(t, newFakeScheduler(misroutingUpstream(t)))
	res := h.stream()
	h.is.Equal(res.body, tokenEvents(2)+"data: [DONE]\n\n")
	h.is.Equal(h.metric("late_answers_total"), 1.0)
}

// Shows that the identity check is what keeps the response from the caller.
func TestResponse_ToAnotherAttemptCheckDisabled(t *testing.T) {
	disable(t, &skipIdentity)
	h := newHarness(t, newFakeScheduler(misroutingUpstream(t)))
	h.is.True(strings.Contains(h.stream().body, "secret"))
}

func TestJSON_CutAndRetried(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(n int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentJSON)
		if n == 0 {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"half":`)
			abortConnection(w)
		}
		_, _ = io.WriteString(w, `{"whole":true}`)
	})
	h := newHarness(t, newFakeScheduler(u))
	h.is.Equal(h.post(upstream.PathCompletions, jsonBody).body, `{"whole":true}`)
	h.is.Equal(u.callCount(), 2)
}

func TestRefusal_ByUpstreamBeforeRunning(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	h := newHarness(t, newFakeScheduler(u))
	p := h.stream().problem(t)
	h.is.Equal(p.Kind, errkind.UpstreamRefused)
	h.is.Equal(p.Ran, errkind.RanNo)
	h.is.True(p.RetryAfterMs > 0)
	h.is.Equal(h.scheduler.outcomes()[0], wire.Outcome_OUTCOME_REFUSED)
}

func TestFailure_AfterRequestWasWritten(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) })
	h := newHarness(t, newFakeScheduler(u))
	p := h.stream().problem(t)
	h.is.Equal(p.Kind, errkind.UpstreamFailed)
	h.is.Equal(p.Ran, errkind.RanMaybe)
	h.is.Equal(u.callCount(), DefaultMaxAttempts)
}

func TestRefusal_ByScheduler(t *testing.T) {
	h := newHarness(t, newFakeScheduler())
	h.scheduler.refuse = func(*wire.Ask) *errkind.Error { return errkind.New(errkind.QueueFull, "full") }
	res := h.stream()
	h.is.Equal(res.status, 429)
	h.is.Equal(res.header.Get("Retry-After"), "1")
	h.is.Equal(res.header.Get("Content-Type"), contentProblem)
	p := res.problem(t)
	h.is.Equal(p.Kind, errkind.QueueFull)
	h.is.Equal(p.Ran, errkind.RanNo)
	h.is.Equal(p.RequestID, res.header.Get(headerRequest))
}

func TestDeadline_WaitingForSlot(t *testing.T) {
	h := newHarness(t, newFakeScheduler())
	h.scheduler.block = make(chan struct{})
	p := h.stream("X-Deadline-Ms", "30").problem(t)
	h.is.True(p.Kind == errkind.DeadlineExceeded || p.Kind == errkind.NoScheduler)
	h.is.Equal(p.Ran, errkind.RanNo)
}

func TestCaller_DisconnectsDuringStream(t *testing.T) {
	callEnded := make(chan struct{})
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, r *http.Request) {
		sendTokens(w, r, 1)
		<-r.Context().Done()
		close(callEnded)
	})
	h := newHarness(t, newFakeScheduler(u))
	res, err := h.client.Do(h.newRequest(http.MethodPost, upstream.PathCompletions, streamBody))
	h.is.NoErr(err)
	_, err = io.ReadFull(res.Body, make([]byte, len(tokenEvent(0))))
	h.is.NoErr(err)
	res.Body.Close()
	<-callEnded // the call to the upstream has ended
	eventually(t, "the upstream receives the cancel", func() bool { return u.cancelCount() == 1 })
	eventually(t, "the slot is released", func() bool { return len(h.scheduler.outcomes()) == 1 })
	h.is.Equal(h.scheduler.outcomes()[0], wire.Outcome_OUTCOME_CANCELLED)
	eventually(t, "no handler is left", func() bool { return h.entry.http.InFlight() == 0 })
	h.is.Equal(h.entry.openRequests.Load(), int64(0))
}

func TestCaller_DisconnectsWhileWaitingForSlot(t *testing.T) {
	h := newHarness(t, newFakeScheduler())
	h.scheduler.block = make(chan struct{})
	h.client.Timeout = 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		r := h.newRequest(http.MethodPost, upstream.PathCompletions, streamBody)
		ctx, cancel := contextCancelledWhen(func() bool { return h.scheduler.waitingCount() == 1 })
		defer cancel()
		if res, err := h.client.Do(r.WithContext(ctx)); err == nil {
			res.Body.Close()
		}
	}()
	<-done
	eventually(t, "the slot request ends", func() bool { return h.scheduler.waitingCount() == 0 })
	eventually(t, "the request is finished", func() bool { return h.entry.openRequests.Load() == 0 })
}
