package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

const printPath = "/v1/services/print/jobs/7?copies=2"

func respondCreated(_ int, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, `{"booked":1}`)
}

func (h *harness) callPrint(key, body string) httpResult {
	h.t.Helper()
	return h.post(printPath, body, headerKey, key)
}

func TestLedgerCall_Resent(t *testing.T) {
	u := newFakeUpstream(t, "p1", respondCreated)
	h := newHarness(t, newFakeScheduler(u))
	first := h.callPrint("k1", `{"slip":1}`)
	h.is.Equal(first.status, 201)
	h.is.Equal(first.body, `{"booked":1}`)
	h.is.Equal(first.header.Get(headerReplayed), "")
	second := h.callPrint("k1", `{"slip":1}`)
	h.is.Equal(second.status, 201)
	h.is.Equal(second.body, first.body)
	h.is.Equal(second.header.Get(headerReplayed), "true")
	h.is.Equal(u.callCount(), 1)
	h.is.Equal(u.calls[0].URL.RequestURI(), "/jobs/7?copies=2")
	h.is.Equal(u.calls[0].Header.Get(headerKey), "k1")
}

// Shows that the ledger is what prevents the second run.
func TestLedgerCall_ResentLedgerDisabled(t *testing.T) {
	disable(t, &skipLedger)
	u := newFakeUpstream(t, "p1", respondCreated)
	h := newHarness(t, newFakeScheduler(u))
	h.callPrint("k1", `{"slip":1}`)
	h.callPrint("k1", `{"slip":1}`)
	h.is.Equal(u.callCount(), 2)
}

func TestLedgerCall_NoKey(t *testing.T) {
	h := newHarness(t, newFakeScheduler())
	p := h.post(printPath, `{}`).problem(t)
	h.is.Equal(p.Kind, errkind.KeyMissing)
	h.is.Equal(p.Ran, errkind.RanNo)
}

func TestLedgerCall_KeyReusedWithAnotherBody(t *testing.T) {
	u := newFakeUpstream(t, "p1", respondCreated)
	h := newHarness(t, newFakeScheduler(u))
	h.callPrint("k1", `{"slip":1}`)
	p := h.callPrint("k1", `{"slip":2}`).problem(t)
	h.is.Equal(p.Kind, errkind.KeyReused)
	h.is.Equal(p.Ran, errkind.RanNo)
	h.is.Equal(u.callCount(), 1)
}

func TestLedgerCall_ResponseLost(t *testing.T) {
	u := newFakeUpstream(t, "p1", func(_ int, w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
	h := newHarness(t, newFakeScheduler(u))
	for range 3 {
		p := h.callPrint("k1", `{}`).problem(t)
		h.is.Equal(p.Kind, errkind.OutcomeUnknown)
		h.is.Equal(p.Ran, errkind.RanMaybe)
	}
	h.is.Equal(u.callCount(), 1)
	h.is.Equal(h.ledger.status("k1"), wire.LedgerStatus_LEDGER_UNKNOWN)
}

// Guards against net/http: when a reused connection fails, its transport resends requests
// that carry an Idempotency-Key.
func TestLedgerCall_EmptyBodyAndConnectionLost(t *testing.T) {
	u := newFakeUpstream(t, "p1", func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			respondCreated(n, w, r)
			return
		}
		panic(http.ErrAbortHandler)
	})
	h := newHarness(t, newFakeScheduler(u))
	h.is.Equal(h.callPrint("k1", ``).status, 201)
	h.is.Equal(h.callPrint("k2", ``).problem(t).Kind, errkind.OutcomeUnknown)
	h.is.Equal(u.callCount(), 2)
}

func TestLedgerCall_RefusedBeforeRunning(t *testing.T) {
	u := newFakeUpstream(t, "p1", func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			w.Header().Set(upstream.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		respondCreated(n, w, r)
	})
	h := newHarness(t, newFakeScheduler(u))
	p := h.callPrint("k1", `{}`).problem(t)
	h.is.Equal(p.Kind, errkind.UpstreamRefused)
	h.is.Equal(p.Ran, errkind.RanNo)
	h.is.Equal(h.ledger.status("k1"), wire.LedgerStatus_LEDGER_NOT_RUN)
	h.is.Equal(h.callPrint("k1", `{}`).status, 201)
}

func TestLedgerCall_UpstreamUnreachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := ln.Addr().String()
	ln.Close()
	u := newFakeUpstream(t, "p2", respondCreated)
	scheduler := newFakeScheduler(u)
	scheduler.upstreams["p1"] = dead
	h := newHarness(t, scheduler)
	h.is.Equal(h.callPrint("k1", `{}`).status, 201)
	h.is.Equal(u.callCount(), 1)
	h.is.Equal(h.ledger.begins, 1)
}

func TestLedgerCall_BeginResultLost(t *testing.T) {
	u := newFakeUpstream(t, "p1", respondCreated)
	h := newHarness(t, newFakeScheduler(u))
	var lost atomic.Int32
	h.ledger.fault = func(cmd *wire.Command) error {
		if cmd.GetLedgerBegin() != nil && lost.Add(1) < 3 {
			return errors.New("the answer was lost")
		}
		return nil
	}
	h.is.Equal(h.callPrint("k1", `{}`).status, 201)
	h.is.Equal(u.callCount(), 1)
	h.is.Equal(h.ledger.begins, 3)
}

func TestLedgerCall_LedgerUnavailable(t *testing.T) {
	u := newFakeUpstream(t, "p1", respondCreated)
	h := newHarness(t, newFakeScheduler(u), func(o *Options) { o.LedgerFinishWait = time.Millisecond })
	var down atomic.Bool
	down.Store(true)
	h.ledger.fault = func(*wire.Command) error {
		if down.Load() {
			return errors.New("no leader")
		}
		return nil
	}
	p := h.post(printPath, `{}`, headerKey, "k1", upstream.HeaderDeadline, "50").problem(t)
	h.is.Equal(p.Kind, errkind.ControlUnavailable)
	h.is.Equal(p.Ran, errkind.RanNo)
	h.is.Equal(u.callCount(), 0)
	down.Store(false)
	eventually(t, "the key can be used again", func() bool { return h.ledger.status("k1") == wire.LedgerStatus_LEDGER_NOT_RUN })
}

func TestLedgerCall_FinishFailsTwice(t *testing.T) {
	u := newFakeUpstream(t, "p1", respondCreated)
	h := newHarness(t, newFakeScheduler(u))
	var n atomic.Int32
	h.ledger.fault = func(cmd *wire.Command) error {
		if cmd.GetLedgerFinish() != nil && n.Add(1) < 3 {
			return errors.New("no leader")
		}
		return nil
	}
	h.is.Equal(h.callPrint("k1", `{}`).status, 201)
	eventually(t, "the finish is proposed three times", func() bool { return n.Load() == 3 })
	h.is.Equal(h.ledger.status("k1"), wire.LedgerStatus_LEDGER_DONE)
}

func TestLedgerCall_CallerDisconnects(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	u := newFakeUpstream(t, "p1", func(n int, w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		respondCreated(n, w, r)
	})
	h := newHarness(t, newFakeScheduler(u))
	ctx, cancel := contextCancelledWhen(func() bool {
		select {
		case <-started:
			return true
		default:
			return false
		}
	})
	defer cancel()
	_, err := h.client.Do(h.newRequest(http.MethodPost, printPath, `{}`, headerKey, "k1").WithContext(ctx))
	h.is.True(err != nil)
	eventually(t, "the request is finished", func() bool { return h.entry.openRequests.Load() == 0 })
	h.is.Equal(h.callPrint("k1", `{}`).problem(t).Kind, errkind.InProgress)
	close(release)
	eventually(t, "the response is stored", func() bool { return h.ledger.status("k1") == wire.LedgerStatus_LEDGER_DONE })
	h.is.Equal(h.callPrint("k1", `{}`).header.Get(headerReplayed), "true")
}

func TestLedgerCall_SlotRefused(t *testing.T) {
	h := newHarness(t, newFakeScheduler())
	h.scheduler.refuse = func(*wire.Ask) *errkind.Error { return errkind.New(errkind.QueueFull, "full") }
	p := h.callPrint("k1", `{}`).problem(t)
	h.is.Equal(p.Kind, errkind.QueueFull)
	h.is.Equal(h.ledger.begins, 0)
}

func TestLedgerCall_ResponseTooLargeToStore(t *testing.T) {
	large := strings.Repeat("x", maxStoredBytes+1)
	u := newFakeUpstream(t, "p1", func(_ int, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) })
	h := newHarness(t, newFakeScheduler(u))
	h.is.Equal(h.callPrint("k1", `{}`).body, large)
	res := h.callPrint("k1", `{}`)
	h.is.Equal(res.status, 200)
	h.is.Equal(res.header.Get(headerOmitted), "true")
	h.is.Equal(res.body, omittedBody)
}

// newPausedEntry returns an entry whose clock jumps past the grant's use-by time while
// its first call is being recorded, as if the process had been paused.
func newPausedEntry(t *testing.T) (*harness, *fakeUpstream) {
	var skew atomic.Int64
	u := newFakeUpstream(t, "p1", respondCreated)
	scheduler := newFakeScheduler(u)
	scheduler.useBy = time.Second
	h := newHarness(t, scheduler, func(o *Options) {
		o.Now = func() time.Time { return time.Now().Add(time.Duration(skew.Load())) }
	})
	var once atomic.Bool
	h.ledger.fault = func(cmd *wire.Command) error {
		if cmd.GetLedgerBegin() != nil && once.CompareAndSwap(false, true) {
			skew.Store(int64(2 * time.Second))
		}
		return nil
	}
	return h, u
}

func TestLedgerCall_EntryPausedAfterGrant(t *testing.T) {
	h, u := newPausedEntry(t)
	h.is.Equal(h.callPrint("k1", `{}`).status, 201)
	h.is.Equal(h.scheduler.outcomes(), []wire.Outcome{wire.Outcome_OUTCOME_UNUSED, wire.Outcome_OUTCOME_OK})
	h.is.Equal(u.callCount(), 1)
	h.is.Equal(h.ledger.begins, 1) // both slots under the same record
}

// Shows that the use-by check is what prevents sending under the expired grant.
func TestLedgerCall_EntryPausedAfterGrantCheckDisabled(t *testing.T) {
	disable(t, &skipUseBy)
	h, _ := newPausedEntry(t)
	h.callPrint("k1", `{}`)
	h.is.Equal(h.scheduler.outcomes(), []wire.Outcome{wire.Outcome_OUTCOME_OK})
}

func TestService_IdempotentCallWithoutKey(t *testing.T) {
	u := newFakeUpstream(t, "l1", func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			panic(http.ErrAbortHandler)
		}
		respondCreated(n, w, r)
	})
	h := newHarness(t, newFakeScheduler(u))
	res := h.roundTrip(h.newRequest(http.MethodGet, "/v1/services/lookup/stock/3", ""))
	h.is.Equal(res.status, 201)
	h.is.Equal(u.callCount(), 2)
	h.is.Equal(u.calls[1].URL.Path, "/stock/3")
	h.is.Equal(h.scheduler.asks[0].GetService(), "lookup")
}

func TestService_Unknown(t *testing.T) {
	h := newHarness(t, newFakeScheduler())
	h.is.Equal(h.post("/v1/services/nothing/x", "").problem(t).Kind, errkind.UnknownService)
}
