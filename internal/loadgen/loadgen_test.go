package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/standin"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

func readExample(t testing.TB, name string) *wire.Spec {
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := spec.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func testShape() Shape {
	return Shape{
		Seed: 3, Duration: 60 * time.Second, Rate: 50, CrestAt: 20 * time.Second, CrestFor: 10 * time.Second, CrestFactor: 4,
		WakeEvery: 5 * time.Second, WakeSize: 10, WakeSpan: 200 * time.Millisecond, ColdAfter: 10 * time.Second,
	}
}

func TestSchedule_Mixes(t *testing.T) {
	for _, mix := range []Mix{KestrelFold(), TopperTrial()} {
		t.Run(mix.Name, func(t *testing.T) {
			is := is.New(t)
			s := readExample(t, mix.Name)
			list, err := Schedule(testShape(), mix, s, 3)
			is.NoErr(err)
			again, err := Schedule(testShape(), mix, s, 3)
			is.NoErr(err)
			inCrest, inWakeUp, cold, targets := 0, 0, 0, map[int]bool{}
			for i, a := range list {
				is.Equal(fmt.Sprint(*a), fmt.Sprint(*again[i])) // the same seed yields the same schedule
				is.True(a.Model == "" || spec.FindModel(s, a.Model) != nil)
				is.True(a.Adapter == "" || spec.FindAdapter(s, a.Model, a.Adapter) != nil)
				is.Equal(a.Key != "", a.Workload.Keyed)
				targets[a.Target] = true
				if a.InCrest {
					inCrest++
				}
				if a.InWakeUp {
					inWakeUp++
				}
				if a.ColdModel {
					cold++
				}
			}
			is.Equal(len(targets), 3)
			is.True(inCrest > 1_500 && inCrest < 2_600) // 10 s at 200 per second, and wake-ups
			is.True(len(list)-inCrest > 2_000)          // 50 s at 50 per second
			is.True(inWakeUp > 0 && cold > 0 && cold < len(list)/2)
		})
	}
}

func TestSchedule_ModelsMissingFromFile(t *testing.T) {
	is := is.New(t)
	_, err := Schedule(testShape(), TopperTrial(), readExample(t, "kestrel-fold"), 1)
	is.True(err != nil)
}

// fakeEntry is an entry whose answers the test chooses.
type fakeEntry struct {
	mu    sync.Mutex
	calls map[string]int // by Idempotency-Key
	// behaviour returns how to answer the n-th request: one of the cases in ServeHTTP and stream.
	behaviour func(n int) string
	requests  int
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.requests++
	behaviour := e.behaviour(e.requests)
	key := r.Header.Get("Idempotency-Key")
	if e.calls[key] > 0 && key != "" {
		behaviour = "whole" // a resend gets the stored answer
	}
	e.calls[key]++
	e.mu.Unlock()
	switch behaviour {
	case "refuse":
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(w, `{"kind":"queue_full","ran":"no"}`)
		return
	case "no_error_kind":
		http.Error(w, "oops", http.StatusBadGateway)
		return
	case "drop":
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(r.URL.Path, "/v1/services/") {
		_ = json.NewEncoder(w).Encode(serviceEcho{Key: key, Echo: string(body)})
		return
	}
	e.stream(w, body, behaviour)
}

func (e *fakeEntry) stream(w http.ResponseWriter, body []byte, behaviour string) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	model, adapter, _ := strings.Cut(c.Model, ":")
	if behaviour == "other_answer" {
		c.Prompt = "of another request"
	}
	for i := range c.MaxTokens {
		if behaviour != "whole" && behaviour != "other_answer" && i == c.MaxTokens/2 {
			break
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", standin.Token(model, adapter, c.Prompt, i))
	}
	switch behaviour {
	case "cut":
	case "error_event":
		_, _ = io.WriteString(w, "event: error\ndata: {\"error\":{\"kind\":\"interrupted\",\"ran\":\"maybe\"}}\n\n")
	default:
		_, _ = io.WriteString(w, ": keep-alive\n\ndata: [DONE]\n\n")
	}
}

// runAgainstFake runs n requests of the mix against a fake entry and checks that the
// report accounts for each of them.
func runAgainstFake(t *testing.T, n int, mix Mix, behaviour func(n int) string) *Report {
	e := &fakeEntry{calls: map[string]int{}, behaviour: behaviour}
	srv := httptest.NewServer(e)
	defer srv.Close()
	shape := testShape()
	shape.Requests, shape.Rate, shape.CrestFactor = n, 2_000, 1
	list, err := Schedule(shape, mix, readExample(t, mix.Name), 1)
	if err != nil {
		t.Fatal(err)
	}
	target := strings.TrimPrefix(srv.URL, "http://")
	rep, err := Run(context.Background(), Options{Targets: []string{target}, ExpectedText: standin.Text}, list)
	if err != nil {
		t.Fatal(err)
	}
	sum := rep.Unaccounted
	for _, count := range rep.Outcomes {
		sum += count
	}
	if sum != rep.Scheduled || rep.Scheduled != n {
		t.Fatalf("the report accounts for %d of %d requests", sum, n)
	}
	return rep
}

// generationMix returns a mix without service calls, so that every answer is a stream.
func generationMix() Mix {
	m := KestrelFold()
	m.Workloads = m.Workloads[:4]
	return m
}

func TestRun_AnswerKinds(t *testing.T) {
	cases := []struct {
		how    string
		want   Outcome
		kind   string
		failed bool
	}{
		{"whole", OutcomeWhole, "", false},
		{"refuse", OutcomeRefused, "queue_full", false},
		{"error_event", OutcomeRefused, "interrupted", false},
		{"cut", OutcomeLost, "", true},
		{"drop", OutcomeLost, "", true},
		{"no_error_kind", OutcomeLost, "", true},
		{"other_answer", OutcomeWrong, "", true},
	}
	for _, c := range cases {
		t.Run(c.how, func(t *testing.T) {
			is := is.New(t)
			rep := runAgainstFake(t, 40, generationMix(), func(int) string { return c.how })
			is.Equal(rep.Outcomes[c.want], 40)
			is.Equal(rep.Refusals[c.kind] > 0, c.kind != "")
			is.Equal(rep.FailureReason(0) != "", c.failed)
		})
	}
}

func TestRun_KeyedRequestResent(t *testing.T) {
	is := is.New(t)
	mix := KestrelFold()
	mix.Workloads = mix.Workloads[4:5]
	rep := runAgainstFake(t, 10, mix, func(n int) string {
		if n%2 == 0 {
			return "drop"
		}
		return "whole"
	})
	is.Equal(rep.Outcomes[OutcomeWhole], 10)
	is.True(rep.Resent > 0)
}

func TestRun_EntryUnreachable(t *testing.T) {
	is := is.New(t)
	e := &fakeEntry{calls: map[string]int{}, behaviour: func(int) string { return "whole" }}
	srv, closed := httptest.NewServer(e), httptest.NewServer(e)
	defer srv.Close()
	down := closed.Listener.Addr().String()
	closed.Close()
	shape := testShape()
	shape.Requests, shape.Rate = 30, 2_000
	list, err := Schedule(shape, generationMix(), readExample(t, "kestrel-fold"), 2)
	is.NoErr(err)
	rep, err := Run(context.Background(), Options{Targets: []string{down, srv.Listener.Addr().String()}, ExpectedText: standin.Text}, list)
	is.NoErr(err)
	is.Equal(rep.Outcomes[OutcomeWhole], 30)
	is.Equal(rep.Resent, 0)
	rep, err = Run(context.Background(), Options{Targets: []string{down, down}}, list)
	is.NoErr(err)
	is.Equal(rep.Outcomes[OutcomeLost], 30) // every entry is down
}

func TestRun_TooManyOpenThenCancelled(t *testing.T) {
	is := is.New(t)
	const open = 5
	ctx, cancel := context.WithCancel(context.Background())
	release := make(chan struct{})
	var arrived atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if arrived.Add(1) == open {
			cancel()
			close(release)
		}
		<-release
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	defer srv.Close()
	list, err := Schedule(Shape{Seed: 1, Duration: time.Second, Rate: 10_000, Requests: 20}, generationMix(), readExample(t, "kestrel-fold"), 1)
	is.NoErr(err)
	late := *list[19]
	late.At = time.Hour
	list[19] = &late
	rep, err := Run(ctx, Options{Targets: []string{srv.Listener.Addr().String()}, MaxOpen: open}, list)
	is.NoErr(err)
	is.Equal(rep.Outcomes[OutcomeWhole], open)
	is.Equal(rep.Outcomes[OutcomeUnsent], 20-open)
	is.Equal(rep.Unaccounted, 0)
}

func TestReport_MixedResults(t *testing.T) {
	is := is.New(t)
	short, long := &Workload{Name: "short"}, &Workload{Name: "long", Long: true}
	whole := func(w *Workload, first time.Duration, change func(*Result)) *Result {
		r := &Result{Arrival: &Arrival{Workload: w, Model: "m"}, Outcome: OutcomeWhole, FirstToken: first, Total: 2 * first}
		change(r)
		return r
	}
	results := []*Result{
		whole(short, 10*time.Millisecond, func(*Result) {}),
		whole(short, 90*time.Millisecond, func(r *Result) { r.BehindLong = true }),
		whole(short, 4*time.Second, func(r *Result) { r.Arrival.ColdModel = true }),
		whole(long, 20*time.Millisecond, func(r *Result) { r.Arrival.InCrest = true }),
		whole(short, 30*time.Millisecond, func(r *Result) { r.Arrival.InCrest, r.Late = true, true }),
		{Arrival: &Arrival{Workload: short}, Outcome: OutcomeRefused, Kind: "queue_full"},
		nil,
	}
	rep := newReport(make([]*Arrival, len(results)), results)
	is.Equal(rep.Unaccounted, 1)
	is.True(rep.FailureReason(0) != "") // a request has no outcome
	is.Equal(rep.Crest, Share{Part: 1, Whole: 2})
	is.Equal(rep.ColdStart.Count, int64(1))
	is.Equal(rep.ShortBehindLong.Count, int64(1))
	is.Equal(rep.ShortFree.Count, int64(2))
	is.True(rep.ColdStart.P99 >= 4*time.Second && rep.ColdStart.P99 < 4100*time.Millisecond)
	var table, js bytes.Buffer
	is.NoErr(rep.WriteTable(&table))
	is.NoErr(rep.WriteJSON(&js))
	for _, part := range []string{"cold start", "idle accelerator", "crest", "behind long", "longest gap", "queue_full"} {
		is.True(strings.Contains(table.String(), part))
	}
	is.True(json.Valid(js.Bytes()))
}

func TestSampler_IdleAndUnreachableRunners(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(upstream.State{Held: []upstream.HeldModel{{Model: "m"}}})
	}))
	defer srv.Close()
	s := &sampler{}
	s.sample(context.Background(), srv.Client(), []string{srv.Listener.Addr().String(), "127.0.0.1:1"}, time.Hour)
	is.Equal(s.usage.HeldTime, time.Hour)
	is.Equal(s.usage.IdleHours(), 1.0)
	is.Equal(s.usage.Unreachable, 1)
}
