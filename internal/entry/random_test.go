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

// chaos is an upstream that does anything, and knows what it ran.
type chaos struct {
	mu   sync.Mutex
	rnd  *rand.Rand
	ran  map[string]bool // attempts that may have run
	keys map[string]int  // bookings that ran, by key
}

func (c *chaos) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

func (c *chaos) began(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran[r.Header.Get(upstream.HeaderAttempt)] = true
	if key := r.Header.Get(headerKey); key != "" {
		c.keys[key]++
	}
}

func (c *chaos) mayHaveRun(request string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for attempt := range c.ran {
		if strings.HasPrefix(attempt, request+"-") {
			return true
		}
	}
	return false
}

const chaosTokens = 12

func (c *chaos) serve(_ int, w http.ResponseWriter, r *http.Request) {
	how := c.draw(12)
	if how == 0 {
		w.Header().Set(upstream.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.began(r)
	if r.Header.Get(headerKey) != "" {
		c.booking(how, w, r)
		return
	}
	switch how {
	case 1:
		panic(http.ErrAbortHandler)
	case 2:
		w.WriteHeader(http.StatusInternalServerError)
	case 3:
		w.Header().Set(upstream.HeaderAttempt, "crossed")
		w.Header().Set("Content-Type", contentStream)
		_, _ = io.WriteString(w, "data: {\"text\":\"another caller's\",\"index_token\":0}\n\n")
		sendDone(w)
	case 4:
		sendTokens(w, r, c.draw(chaosTokens))
		cut(w)
	case 5:
		sendTokens(w, r, c.draw(chaosTokens)) // no end mark
	case 6:
		sendTokens(w, r, 2)
		_, _ = io.WriteString(w, chunk(c.draw(chaosTokens)))
		cut(w)
	case 7:
		<-r.Context().Done()
	default:
		sendTokens(w, r, chaosTokens)
		sendDone(w)
	}
}

func (c *chaos) booking(how int, w http.ResponseWriter, r *http.Request) {
	switch how {
	case 1, 2:
		panic(http.ErrAbortHandler)
	case 3:
		w.Header().Set(upstream.HeaderAttempt, "crossed")
		accept(0, w, r)
	case 4:
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		cut(w)
	default:
		accept(0, w, r)
	}
}

func TestRandom_UpstreamsDoAnythingAndEveryAnswerIsWholeOrTruthful(t *testing.T) {
	const seed, callers, rounds = 7, 12, 25
	c := &chaos{rnd: rand.New(rand.NewPCG(seed, 0)), ran: map[string]bool{}, keys: map[string]int{}}
	var upstreams []*fakeUpstream
	for _, id := range []string{"u1", "u2", "u3"} {
		upstreams = append(upstreams, newFakeUpstream(t, id, c.serve))
	}
	slots := newFakeSlots(upstreams...)
	slots.hedgeAfter = 5 * time.Millisecond
	b := newBench(t, slots, func(o *Options) { o.RetryBurst, o.RetryPercent = 1000, 100 })
	var wg sync.WaitGroup
	for caller := range callers {
		rnd := rand.New(rand.NewPCG(seed, uint64(caller)+1))
		wg.Go(func() {
			for round := range rounds {
				b.randomRequest(c, rnd, fmt.Sprintf("%d-%d", caller, round/3))
			}
		})
	}
	wg.Wait()
	b.shutdown()
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, n := range c.keys {
		if n > 1 {
			t.Errorf("booking %s ran %d times", key, n)
		}
	}
}

func (b *bench) randomRequest(c *chaos, rnd *rand.Rand, key string) {
	r := b.request(http.MethodPost, upstream.PathCompletions, streamBody, "X-Deadline-Ms", "1000")
	kind := rnd.IntN(4)
	if kind == 0 {
		r = b.request(http.MethodPost, printPath, "{}", headerKey, key, "X-Deadline-Ms", "1000")
	}
	if kind == 1 { // the caller leaves at some moment
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rnd.IntN(20))*time.Millisecond)
		defer cancel()
		r = r.WithContext(ctx)
	}
	res, err := b.client.Do(r)
	if err != nil {
		if kind != 1 {
			b.t.Errorf("no answer: %v", err)
		}
		return
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		if kind != 1 {
			b.t.Errorf("a cut answer: %v", err)
		}
		return
	}
	b.judge(c, kind, got{res.StatusCode, res.Header, string(body)})
}

// judge checks one answer against what the upstreams know.
func (b *bench) judge(c *chaos, kind int, g got) {
	switch {
	case g.status == http.StatusCreated && kind == 0:
		return
	case g.status == http.StatusOK && strings.HasSuffix(g.body, "[DONE]\n\n"):
		if g.body != tokens(chaosTokens)+"data: [DONE]\n\n" {
			b.t.Errorf("passed as whole: %q", g.body)
		}
		return
	case g.status == http.StatusOK:
		passed, _, _ := strings.Cut(g.body, "event: error")
		if !strings.HasPrefix(tokens(chaosTokens), passed) {
			b.t.Errorf("not a prefix of the answer: %q", passed)
		}
		if p := g.streamProblem(b.t); p.Ran == errkind.RanNo {
			b.t.Errorf("a stream that began says not run: %+v", p)
		}
		return
	}
	p := g.problem(b.t)
	if p.Ran == errkind.RanNo && c.mayHaveRun(p.RequestID) {
		b.t.Errorf("said not run, but an upstream ran it: %+v", p)
	}
}
