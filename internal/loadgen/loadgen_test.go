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

func example(t testing.TB, name string) *wire.Spec {
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

func TestSchedule_FollowsSeedShapeAndFile(t *testing.T) {
	for _, mix := range []Mix{KestrelFold(), TopperTrial()} {
		t.Run(mix.Name, func(t *testing.T) {
			is := is.New(t)
			s := example(t, mix.Name)
			list, err := Schedule(testShape(), mix, s, 3)
			is.NoErr(err)
			again, err := Schedule(testShape(), mix, s, 3)
			is.NoErr(err)
			crest, wakes, cold, targets := 0, 0, 0, map[int]bool{}
			for i, a := range list {
				is.Equal(fmt.Sprint(*a), fmt.Sprint(*again[i])) // one seed, one schedule
				is.True(a.Model == "" || spec.FindModel(s, a.Model) != nil)
				is.True(a.Adapter == "" || spec.FindAdapter(s, a.Model, a.Adapter) != nil)
				is.Equal(a.Key != "", a.Work.Keyed)
				targets[a.Target] = true
				if a.Crest {
					crest++
				}
				if a.Wake {
					wakes++
				}
				if a.Cold {
					cold++
				}
			}
			is.Equal(len(targets), 3)
			is.True(crest > 1_500 && crest < 2_600) // 10 s at 200 a second, and wake-ups
			is.True(len(list)-crest > 2_000)        // 50 s at 50 a second
			is.True(wakes > 0 && cold > 0 && cold < len(list)/2)
		})
	}
}

func TestSchedule_RefusesAFileWithoutTheModels(t *testing.T) {
	is := is.New(t)
	_, err := Schedule(testShape(), TopperTrial(), example(t, "kestrel-fold"), 1)
	is.True(err != nil)
}

// entry is a stand-in for an entry that answers as the test says.
type entry struct {
	mu    sync.Mutex
	calls map[string]int // by Idempotency-Key
	// answer returns how the n-th request shall be answered.
	answer func(n int) string
	n      int
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.n++
	how := e.answer(e.n)
	key := r.Header.Get("Idempotency-Key")
	if e.calls[key] > 0 && key != "" {
		how = "whole" // a resend gets the stored answer
	}
	e.calls[key]++
	e.mu.Unlock()
	switch how {
	case "refuse":
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(w, `{"kind":"queue_full","ran":"no"}`)
		return
	case "bare":
		http.Error(w, "oops", http.StatusBadGateway)
		return
	case "drop":
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(r.URL.Path, "/v1/services/") {
		_ = json.NewEncoder(w).Encode(echo{Key: key, Echo: string(body)})
		return
	}
	e.stream(w, body, how)
}

func (e *entry) stream(w http.ResponseWriter, body []byte, how string) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	model, adapter, _ := strings.Cut(c.Model, ":")
	if how == "crossed" {
		c.Prompt = "of another request"
	}
	for i := range c.MaxTokens {
		if how != "whole" && how != "crossed" && i == c.MaxTokens/2 {
			break
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", standin.Token(model, adapter, c.Prompt, i))
	}
	switch how {
	case "cut":
	case "fail":
		_, _ = io.WriteString(w, "event: error\ndata: {\"error\":{\"kind\":\"interrupted\",\"ran\":\"maybe\"}}\n\n")
	default:
		_, _ = io.WriteString(w, ": keep-alive\n\ndata: [DONE]\n\n")
	}
}

// runAgainst sends n short requests to an entry that answers as told.
func runAgainst(t *testing.T, n int, mix Mix, answer func(n int) string) *Report {
	e := &entry{calls: map[string]int{}, answer: answer}
	srv := httptest.NewServer(e)
	defer srv.Close()
	shape := testShape()
	shape.Requests, shape.Rate, shape.CrestFactor = n, 2_000, 1
	list, err := Schedule(shape, mix, example(t, mix.Name), 1)
	if err != nil {
		t.Fatal(err)
	}
	target := strings.TrimPrefix(srv.URL, "http://")
	rep, err := Run(context.Background(), Options{Targets: []string{target}, Text: standin.Text}, list)
	if err != nil {
		t.Fatal(err)
	}
	sum := rep.Unaccounted
	for _, count := range rep.Outcomes {
		sum += count
	}
	if sum != rep.Scheduled || rep.Scheduled != n {
		t.Fatalf("%d of %d requests are in the report", sum, n)
	}
	return rep
}

// generation leaves out the service calls, so that every request is a stream.
func generation() Mix {
	m := KestrelFold()
	m.Works = m.Works[:4]
	return m
}

func TestRun_EveryAnswerIsAccountedFor(t *testing.T) {
	cases := []struct {
		how    string
		want   Outcome
		kind   string
		failed bool
	}{
		{"whole", Whole, "", false},
		{"refuse", Refused, "queue_full", false},
		{"fail", Refused, "interrupted", false},
		{"cut", Lost, "", true},
		{"drop", Lost, "", true},
		{"bare", Lost, "", true},
		{"crossed", Wrong, "", true},
	}
	for _, c := range cases {
		t.Run(c.how, func(t *testing.T) {
			is := is.New(t)
			rep := runAgainst(t, 40, generation(), func(int) string { return c.how })
			is.Equal(rep.Outcomes[c.want], 40)
			is.Equal(rep.Refusals[c.kind] > 0, c.kind != "")
			is.Equal(rep.Failed(0) != "", c.failed)
		})
	}
}

func TestRun_BookingIsSentAgainUnderItsKey(t *testing.T) {
	is := is.New(t)
	mix := KestrelFold()
	mix.Works = mix.Works[4:5]
	rep := runAgainst(t, 10, mix, func(n int) string {
		if n%2 == 0 {
			return "drop"
		}
		return "whole"
	})
	is.Equal(rep.Outcomes[Whole], 10)
	is.True(rep.Resent > 0)
}

func TestRun_UnreachableEntryIsPassedOver(t *testing.T) {
	is := is.New(t)
	e := &entry{calls: map[string]int{}, answer: func(int) string { return "whole" }}
	srv, closed := httptest.NewServer(e), httptest.NewServer(e)
	defer srv.Close()
	dead := closed.Listener.Addr().String()
	closed.Close()
	shape := testShape()
	shape.Requests, shape.Rate = 30, 2_000
	list, err := Schedule(shape, generation(), example(t, "kestrel-fold"), 2)
	is.NoErr(err)
	rep, err := Run(context.Background(), Options{Targets: []string{dead, srv.Listener.Addr().String()}, Text: standin.Text}, list)
	is.NoErr(err)
	is.Equal(rep.Outcomes[Whole], 30)
	is.Equal(rep.Resent, 0)
	rep, err = Run(context.Background(), Options{Targets: []string{dead, dead}}, list)
	is.NoErr(err)
	is.Equal(rep.Outcomes[Lost], 30) // no entry is left to pass it to
}

func TestRun_UnsentWhenTooManyAreOpenOrTheRunEnds(t *testing.T) {
	is := is.New(t)
	const open = 5
	ctx, cancel := context.WithCancel(context.Background())
	hold := make(chan struct{})
	var arrived atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if arrived.Add(1) == open {
			cancel()
			close(hold)
		}
		<-hold
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	defer srv.Close()
	list, err := Schedule(Shape{Seed: 1, Duration: time.Second, Rate: 10_000, Requests: 20}, generation(), example(t, "kestrel-fold"), 1)
	is.NoErr(err)
	far := *list[19]
	far.At = time.Hour
	list[19] = &far
	rep, err := Run(ctx, Options{Targets: []string{srv.Listener.Addr().String()}, MaxOpen: open}, list)
	is.NoErr(err)
	is.Equal(rep.Outcomes[Whole], open)
	is.Equal(rep.Outcomes[Unsent], 20-open)
	is.Equal(rep.Unaccounted, 0)
}

func TestReport_MeasuresAndTable(t *testing.T) {
	is := is.New(t)
	short, long := &Work{Name: "short"}, &Work{Name: "long", Long: true}
	whole := func(w *Work, first time.Duration, change func(*Result)) *Result {
		r := &Result{Arrival: &Arrival{Work: w, Model: "m"}, Outcome: Whole, FirstToken: first, Total: 2 * first}
		change(r)
		return r
	}
	results := []*Result{
		whole(short, 10*time.Millisecond, func(*Result) {}),
		whole(short, 90*time.Millisecond, func(r *Result) { r.BehindLong = true }),
		whole(short, 4*time.Second, func(r *Result) { r.Arrival.Cold = true }),
		whole(long, 20*time.Millisecond, func(r *Result) { r.Arrival.Crest = true }),
		whole(short, 30*time.Millisecond, func(r *Result) { r.Arrival.Crest, r.Late = true, true }),
		{Arrival: &Arrival{Work: short}, Outcome: Refused, Kind: "queue_full"},
		nil,
	}
	rep := newReport(make([]*Arrival, len(results)), results)
	is.Equal(rep.Unaccounted, 1)
	is.True(rep.Failed(0) != "") // a request without an outcome fails the run
	is.Equal(rep.Crest, Share{Part: 1, Whole: 2})
	is.Equal(rep.ColdStart.Count, int64(1))
	is.Equal(rep.ShortBehind.Count, int64(1))
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

func TestSampler_CountsHeldAndIdleTime(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(upstream.State{Held: []upstream.HeldModel{{Model: "m"}}})
	}))
	defer srv.Close()
	s := &sampler{}
	s.sample(context.Background(), srv.Client(), []string{srv.Listener.Addr().String(), "127.0.0.1:1"}, time.Hour)
	is.Equal(s.idle.HeldTime, time.Hour)
	is.Equal(s.idle.IdleHours(), 1.0)
	is.Equal(s.idle.Unreachable, 1)
}
