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

func accept(_ int, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, `{"booked":1}`)
}

func (b *bench) book(key, body string) got {
	b.t.Helper()
	return b.post(printPath, body, headerKey, key)
}

func TestBooking_RunsOnceAndAResendGetsTheStoredAnswer(t *testing.T) {
	u := newFakeUpstream(t, "p1", accept)
	b := newBench(t, newFakeSlots(u))
	first := b.book("k1", `{"slip":1}`)
	b.is.Equal(first.status, 201)
	b.is.Equal(first.body, `{"booked":1}`)
	b.is.Equal(first.header.Get(headerReplayed), "")
	again := b.book("k1", `{"slip":1}`)
	b.is.Equal(again.status, 201)
	b.is.Equal(again.body, first.body)
	b.is.Equal(again.header.Get(headerReplayed), "true")
	b.is.Equal(u.count(), 1)
	b.is.Equal(u.calls[0].URL.RequestURI(), "/jobs/7?copies=2")
	b.is.Equal(u.calls[0].Header.Get(headerKey), "k1")
}

func TestBooking_ResendWouldRunTwiceWithoutTheLedger(t *testing.T) {
	set(t, &skipLedger)
	u := newFakeUpstream(t, "p1", accept)
	b := newBench(t, newFakeSlots(u))
	b.book("k1", `{"slip":1}`)
	b.book("k1", `{"slip":1}`)
	b.is.Equal(u.count(), 2)
}

func TestBooking_WithoutKeyIsRefused(t *testing.T) {
	b := newBench(t, newFakeSlots())
	p := b.post(printPath, `{}`).problem(t)
	b.is.Equal(p.Kind, errkind.KeyMissing)
	b.is.Equal(p.Ran, errkind.RanNo)
}

func TestBooking_KeyWithAnotherBodyIsRefused(t *testing.T) {
	u := newFakeUpstream(t, "p1", accept)
	b := newBench(t, newFakeSlots(u))
	b.book("k1", `{"slip":1}`)
	p := b.book("k1", `{"slip":2}`).problem(t)
	b.is.Equal(p.Kind, errkind.KeyReused)
	b.is.Equal(p.Ran, errkind.RanNo)
	b.is.Equal(u.count(), 1)
}

func TestBooking_LostAnswerIsUnknownAndNeverSentAgain(t *testing.T) {
	u := newFakeUpstream(t, "p1", func(_ int, w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
	b := newBench(t, newFakeSlots(u))
	for range 3 {
		p := b.book("k1", `{}`).problem(t)
		b.is.Equal(p.Kind, errkind.OutcomeUnknown)
		b.is.Equal(p.Ran, errkind.RanMaybe)
	}
	b.is.Equal(u.count(), 1)
	b.is.Equal(b.ledger.status("k1"), wire.LedgerStatus_LEDGER_UNKNOWN)
}

// A kept connection that fails makes net/http's transport send requests with an
// Idempotency-Key again by itself.
func TestBooking_EmptyBodyIsNotSentAgainOnAKeptConnection(t *testing.T) {
	u := newFakeUpstream(t, "p1", func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			accept(n, w, r)
			return
		}
		panic(http.ErrAbortHandler)
	})
	b := newBench(t, newFakeSlots(u))
	b.is.Equal(b.book("k1", ``).status, 201)
	b.is.Equal(b.book("k2", ``).problem(t).Kind, errkind.OutcomeUnknown)
	b.is.Equal(u.count(), 2)
}

func TestBooking_RefusedBeforeRunningFreesTheKey(t *testing.T) {
	u := newFakeUpstream(t, "p1", func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			w.Header().Set(upstream.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		accept(n, w, r)
	})
	b := newBench(t, newFakeSlots(u))
	p := b.book("k1", `{}`).problem(t)
	b.is.Equal(p.Kind, errkind.UpstreamRefused)
	b.is.Equal(p.Ran, errkind.RanNo)
	b.is.Equal(b.ledger.status("k1"), wire.LedgerStatus_LEDGER_NOT_RUN)
	b.is.Equal(b.book("k1", `{}`).status, 201)
}

func TestBooking_UnreachableUpstreamIsNotRunAndAnotherIsUsed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := ln.Addr().String()
	ln.Close()
	u := newFakeUpstream(t, "p2", accept)
	slots := newFakeSlots(u)
	slots.upstreams["p1"] = dead
	b := newBench(t, slots)
	b.is.Equal(b.book("k1", `{}`).status, 201)
	b.is.Equal(u.count(), 1)
	b.is.Equal(b.ledger.begins, 1)
}

func TestBooking_LostBeginAnswerIsAskedAgainUnderTheSameAttempt(t *testing.T) {
	u := newFakeUpstream(t, "p1", accept)
	b := newBench(t, newFakeSlots(u))
	var lost atomic.Int32
	b.ledger.fail = func(cmd *wire.Command) error {
		if cmd.GetLedgerBegin() != nil && lost.Add(1) < 3 {
			return errors.New("the answer was lost")
		}
		return nil
	}
	b.is.Equal(b.book("k1", `{}`).status, 201)
	b.is.Equal(u.count(), 1)
	b.is.Equal(b.ledger.begins, 3)
}

func TestBooking_LedgerOutOfReachIsRefusedNotRunAndNeverSent(t *testing.T) {
	u := newFakeUpstream(t, "p1", accept)
	b := newBench(t, newFakeSlots(u), func(o *Options) { o.FinishWait = time.Millisecond })
	var down atomic.Bool
	down.Store(true)
	b.ledger.fail = func(*wire.Command) error {
		if down.Load() {
			return errors.New("no leader")
		}
		return nil
	}
	p := b.post(printPath, `{}`, headerKey, "k1", upstream.HeaderDeadline, "50").problem(t)
	b.is.Equal(p.Kind, errkind.ControlUnavailable)
	b.is.Equal(p.Ran, errkind.RanNo)
	b.is.Equal(u.count(), 0)
	down.Store(false)
	eventually(t, "the key is freed", func() bool { return b.ledger.status("k1") == wire.LedgerStatus_LEDGER_NOT_RUN })
}

func TestBooking_FinishIsRetriedUntilItIsRecorded(t *testing.T) {
	u := newFakeUpstream(t, "p1", accept)
	b := newBench(t, newFakeSlots(u))
	var n atomic.Int32
	b.ledger.fail = func(cmd *wire.Command) error {
		if cmd.GetLedgerFinish() != nil && n.Add(1) < 3 {
			return errors.New("no leader")
		}
		return nil
	}
	b.is.Equal(b.book("k1", `{}`).status, 201)
	eventually(t, "it is told three times", func() bool { return n.Load() == 3 })
	b.is.Equal(b.ledger.status("k1"), wire.LedgerStatus_LEDGER_DONE)
}

func TestBooking_CallerThatLeftGetsTheStoredAnswerLater(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	u := newFakeUpstream(t, "p1", func(n int, w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		accept(n, w, r)
	})
	b := newBench(t, newFakeSlots(u))
	ctx, cancel := contextCancelledWhen(func() bool {
		select {
		case <-started:
			return true
		default:
			return false
		}
	})
	defer cancel()
	_, err := b.client.Do(b.request(http.MethodPost, printPath, `{}`, headerKey, "k1").WithContext(ctx))
	b.is.True(err != nil)
	eventually(t, "the request is settled", func() bool { return b.entry.open.Load() == 0 })
	b.is.Equal(b.book("k1", `{}`).problem(t).Kind, errkind.InProgress)
	close(release)
	eventually(t, "the answer is stored", func() bool { return b.ledger.status("k1") == wire.LedgerStatus_LEDGER_DONE })
	b.is.Equal(b.book("k1", `{}`).header.Get(headerReplayed), "true")
}

func TestBooking_WaitingForASlotHoldsNoRecord(t *testing.T) {
	b := newBench(t, newFakeSlots())
	b.slots.refuse = func(*wire.Ask) *errkind.Error { return errkind.New(errkind.QueueFull, "full") }
	p := b.book("k1", `{}`).problem(t)
	b.is.Equal(p.Kind, errkind.QueueFull)
	b.is.Equal(b.ledger.begins, 0)
}

func TestBooking_LargeAnswerIsStoredWithoutItsBodyAndSaysSo(t *testing.T) {
	big := strings.Repeat("x", maxStoredBytes+1)
	u := newFakeUpstream(t, "p1", func(_ int, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, big) })
	b := newBench(t, newFakeSlots(u))
	b.is.Equal(b.book("k1", `{}`).body, big)
	g := b.book("k1", `{}`)
	b.is.Equal(g.status, 200)
	b.is.Equal(g.header.Get(headerOmitted), "true")
	b.is.Equal(g.body, omittedBody)
}

// frozen runs the entry on a clock that jumps while the call is being recorded.
func frozen(t *testing.T) (*bench, *fakeUpstream) {
	var skew atomic.Int64
	u := newFakeUpstream(t, "p1", accept)
	slots := newFakeSlots(u)
	slots.useBy = time.Second
	b := newBench(t, slots, func(o *Options) {
		o.Now = func() time.Time { return time.Now().Add(time.Duration(skew.Load())) }
	})
	var once atomic.Bool
	b.ledger.fail = func(cmd *wire.Command) error {
		if cmd.GetLedgerBegin() != nil && once.CompareAndSwap(false, true) {
			skew.Store(int64(2 * time.Second))
		}
		return nil
	}
	return b, u
}

func TestBooking_FrozenEntryThatWakesDoesNotSendUnderItsOldGrant(t *testing.T) {
	b, u := frozen(t)
	b.is.Equal(b.book("k1", `{}`).status, 201)
	b.is.Equal(b.slots.outcomes(), []wire.Outcome{wire.Outcome_OUTCOME_UNUSED, wire.Outcome_OUTCOME_OK})
	b.is.Equal(u.count(), 1)
	b.is.Equal(b.ledger.begins, 1) // still the same record
}

func TestBooking_FrozenEntryWouldSendUnderItsOldGrantWithoutTheCheck(t *testing.T) {
	set(t, &skipUseBy)
	b, _ := frozen(t)
	b.book("k1", `{}`)
	b.is.Equal(b.slots.outcomes(), []wire.Outcome{wire.Outcome_OUTCOME_OK})
}

func TestService_IdempotentCallIsRetriedWithoutAKey(t *testing.T) {
	u := newFakeUpstream(t, "l1", func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 0 {
			panic(http.ErrAbortHandler)
		}
		accept(n, w, r)
	})
	b := newBench(t, newFakeSlots(u))
	g := b.do(b.request(http.MethodGet, "/v1/services/lookup/stock/3", ""))
	b.is.Equal(g.status, 201)
	b.is.Equal(u.count(), 2)
	b.is.Equal(u.calls[1].URL.Path, "/stock/3")
	b.is.Equal(b.slots.asks[0].GetService(), "lookup")
}

func TestService_UnknownIsRefused(t *testing.T) {
	b := newBench(t, newFakeSlots())
	b.is.Equal(b.post("/v1/services/nothing/x", "").problem(t).Kind, errkind.UnknownService)
}
