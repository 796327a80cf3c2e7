package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/upstream"
)

// faultyUpstream responds with random faults and records what it ran.
type faultyUpstream struct {
	mu          sync.Mutex
	rnd         *rand.Rand
	ranAttempts map[string]bool // attempts that may have run
	runsByKey   map[string]int  // number of runs of ledger calls
}

func (u *faultyUpstream) draw(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rnd.IntN(n)
}

func (u *faultyUpstream) recordRun(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ranAttempts[r.Header.Get(upstream.HeaderAttempt)] = true
	if key := r.Header.Get(headerKey); key != "" {
		u.runsByKey[key]++
	}
}

func (u *faultyUpstream) mayHaveRun(request string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for attempt := range u.ranAttempts {
		if strings.HasPrefix(attempt, request+"-") {
			return true
		}
	}
	return false
}

const responseTokens = 12

func (u *faultyUpstream) serve(_ int, w http.ResponseWriter, r *http.Request) {
	fault := u.draw(12)
	if fault == 0 {
		w.Header().Set(upstream.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.recordRun(r)
	if r.Header.Get(headerKey) != "" {
		u.serveLedgerCall(fault, w, r)
		return
	}
	switch fault {
	case 1:
		panic(http.ErrAbortHandler)
	case 2:
		w.WriteHeader(http.StatusInternalServerError)
	case 3:
		w.Header().Set(upstream.HeaderAttempt, "crossed")
		w.Header().Set("Content-Type", contentStream)
		_, _ = io.WriteString(w, "data: {\"text\":\"another caller's\",\"index_token\":0}\n\n")
		sendEndMark(w)
	case 4:
		sendTokens(w, r, u.draw(responseTokens))
		abortConnection(w)
	case 5:
		sendTokens(w, r, u.draw(responseTokens)) // no end mark
	case 6:
		sendTokens(w, r, 2)
		_, _ = io.WriteString(w, tokenEvent(u.draw(responseTokens)))
		abortConnection(w)
	case 7:
		<-r.Context().Done()
	default:
		sendTokens(w, r, responseTokens)
		sendEndMark(w)
	}
}

func (u *faultyUpstream) serveLedgerCall(fault int, w http.ResponseWriter, r *http.Request) {
	switch fault {
	case 1, 2:
		panic(http.ErrAbortHandler)
	case 3:
		w.Header().Set(upstream.HeaderAttempt, "crossed")
		respondCreated(0, w, r)
	case 4:
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		abortConnection(w)
	default:
		respondCreated(0, w, r)
	}
}

func TestRandom_FaultyUpstreams(t *testing.T) {
	const seed, callers, rounds = 7, 12, 25
	faulty := &faultyUpstream{rnd: rand.New(rand.NewPCG(seed, 0)), ranAttempts: map[string]bool{}, runsByKey: map[string]int{}}
	var upstreams []*fakeUpstream
	for _, id := range []string{"u1", "u2", "u3"} {
		upstreams = append(upstreams, newFakeUpstream(t, id, faulty.serve))
	}
	scheduler := newFakeScheduler(upstreams...)
	scheduler.hedgeAfter = 5 * time.Millisecond
	h := newHarness(t, scheduler, func(o *Options) { o.RetryBurst, o.RetryPercent = 1000, 100 })
	var wg sync.WaitGroup
	for caller := range callers {
		rnd := rand.New(rand.NewPCG(seed, uint64(caller)+1))
		wg.Go(func() {
			for round := range rounds {
				h.randomRequest(faulty, rnd, fmt.Sprintf("%d-%d", caller, round/3))
			}
		})
	}
	wg.Wait()
	h.shutdown()
	faulty.mu.Lock()
	defer faulty.mu.Unlock()
	for key, n := range faulty.runsByKey {
		if n > 1 {
			t.Errorf("ledger call with key %s ran %d times", key, n)
		}
	}
}

func (h *harness) randomRequest(faulty *faultyUpstream, rnd *rand.Rand, key string) {
	req := h.newRequest(http.MethodPost, upstream.PathCompletions, streamBody, "X-Deadline-Ms", "1000")
	kind := rnd.IntN(4)
	if kind == 0 {
		req = h.newRequest(http.MethodPost, printPath, "{}", headerKey, key, "X-Deadline-Ms", "1000")
	}
	if kind == 1 { // the caller disconnects at a random time
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rnd.IntN(20))*time.Millisecond)
		defer cancel()
		req = req.WithContext(ctx)
	}
	res, err := h.client.Do(req)
	if err != nil {
		if kind != 1 {
			h.t.Errorf("no response: %v", err)
		}
		return
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		if kind != 1 {
			h.t.Errorf("response was cut: %v", err)
		}
		return
	}
	h.checkResult(faulty, kind, httpResult{res.StatusCode, res.Header, string(body)})
}

// checkResult checks that a response is complete or a prefix of the complete one, and
// that it does not claim "not run" for a request that an upstream ran.
func (h *harness) checkResult(faulty *faultyUpstream, kind int, res httpResult) {
	switch {
	case res.status == http.StatusCreated && kind == 0:
		return
	case res.status == http.StatusOK && strings.HasSuffix(res.body, "[DONE]\n\n"):
		if res.body != tokenEvents(responseTokens)+"data: [DONE]\n\n" {
			h.t.Errorf("wrong response with an end mark: %q", res.body)
		}
		return
	case res.status == http.StatusOK:
		forwarded, _, _ := strings.Cut(res.body, "event: error")
		if !strings.HasPrefix(tokenEvents(responseTokens), forwarded) {
			h.t.Errorf("not a prefix of the response: %q", forwarded)
		}
		if p := res.streamProblem(h.t); p.Ran == errkind.RanNo {
			h.t.Errorf("stream that has started reported as not run: %+v", p)
		}
		return
	}
	p := res.problem(h.t)
	if p.Ran == errkind.RanNo && faulty.mayHaveRun(p.RequestID) {
		h.t.Errorf("reported as not run, but an upstream ran it: %+v", p)
	}
}
