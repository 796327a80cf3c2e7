package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/upstream"
)

const testTimeout = 10 * time.Second

func startRunner(t *testing.T, change func(*Options)) *Server {
	t.Helper()
	o := Options{ID: "r1", Incarnation: 7, MemoryMiB: 100, Slots: 2, Seed: 1, Latency: FastLatency(), ChecksFencing: true}
	if change != nil {
		change(&o)
	}
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func post(t *testing.T, s *Server, path, body string, header ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := (&http.Client{Timeout: testTimeout}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func order(t *testing.T, s *Server, o upstream.Order) upstream.OrderReply {
	t.Helper()
	body, _ := json.Marshal(o)
	var r upstream.OrderReply
	if err := json.NewDecoder(post(t, s, upstream.PathOrders, string(body)).Body).Decode(&r); err != nil {
		t.Fatal(err)
	}
	return r
}

func loadOrder(id, model string, mem uint64) upstream.Order {
	return upstream.Order{ID: id, Kind: upstream.OrderLoad, Incarnation: 7, Fence: 3, Model: model, Version: "1", MemoryMiB: mem}
}

// waitFor polls until the condition holds and fails the test after testTimeout.
func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for range int(testTimeout / time.Millisecond) {
		if cond() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not met in time")
}

func isLoaded(s *Server, model string) func() bool {
	return func() bool {
		for _, h := range s.State().Held {
			if h.Model == model && !h.Loading {
				return true
			}
		}
		return false
	}
}

func TestRunner_StreamAfterLoad(t *testing.T) {
	is := is.New(t)
	s := startRunner(t, nil)
	is.Equal(order(t, s, loadOrder("o1", "m", 60)).State, upstream.OrderAccepted)
	waitFor(t, isLoaded(s, "m"))
	is.Equal(order(t, s, loadOrder("o1", "m", 60)).State, upstream.OrderDone) // a repeated ID is not executed again

	resp := post(t, s, upstream.PathCompletions, `{"model":"m","prompt":"p","max_tokens":5,"stream":true}`,
		upstream.HeaderAttempt, "a1", upstream.HeaderResume, "2")
	is.Equal(resp.Header.Get(upstream.HeaderAttempt), "a1")
	var text string
	var positions []int
	var done bool
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var c Chunk
		is.NoErr(json.Unmarshal([]byte(data), &c))
		text += c.Choices[0].Text
		if c.IndexToken != nil {
			positions = append(positions, *c.IndexToken)
		}
	}
	is.True(done)
	is.Equal(positions, []int{2, 3, 4})
	is.Equal(Text("m", "", "p", 2)+text, Text("m", "", "p", 5))
}

func TestRunner_ModelNotLoaded(t *testing.T) {
	is := is.New(t)
	s := startRunner(t, nil)
	resp := post(t, s, upstream.PathChatCompletions, `{"model":"m","messages":[{"role":"user","content":"x"}]}`)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(upstream.HeaderNotRun), "true")
}

func TestRunner_InvalidOrders(t *testing.T) {
	is := is.New(t)
	s := startRunner(t, nil)
	order(t, s, loadOrder("o1", "m", 60))
	is.Equal(order(t, s, loadOrder("o2", "n", 60)).State, upstream.OrderFailed)
	is.Equal(s.Stats().MemoryViolations, uint64(1))
	is.Equal(order(t, s, loadOrder("o3", "m", 10)).State, upstream.OrderFailed)
	is.Equal(s.Stats().DoubleLoads, uint64(1))
	fenced := loadOrder("o4", "n", 10)
	fenced.Fence = 2
	is.Equal(order(t, s, fenced).State, upstream.OrderFenced)
}

func TestRunner_FencingIgnored(t *testing.T) {
	is := is.New(t)
	s := startRunner(t, func(o *Options) { o.ChecksFencing = false })
	order(t, s, loadOrder("o1", "m", 10))
	stale := loadOrder("o2", "n", 10)
	stale.Fence = 1
	is.Equal(order(t, s, stale).State, upstream.OrderAccepted)
}

func TestRunner_UnloadDuringRequest(t *testing.T) {
	is := is.New(t)
	s := startRunner(t, nil)
	order(t, s, loadOrder("o1", "m", 60))
	waitFor(t, isLoaded(s, "m"))
	end, _, reason := s.accelerator.beginRequest("m", "")
	is.Equal(reason, "")
	unload := loadOrder("o2", "m", 60)
	unload.Kind = upstream.OrderUnload
	is.Equal(order(t, s, unload).State, upstream.OrderAccepted)
	is.Equal(len(s.State().Held), 1)
	end()
	waitFor(t, func() bool { return len(s.State().Held) == 0 })
	is.Equal(s.Stats().BusyUnloads, uint64(1))
}

func TestRunner_CrashMarkerInPrompt(t *testing.T) {
	is := is.New(t)
	exited := make(chan struct{})
	s := startRunner(t, func(o *Options) { o.Exit = func() { close(exited) } })
	order(t, s, loadOrder("o1", "m", 60))
	waitFor(t, isLoaded(s, "m"))
	_, err := http.Post("http://"+s.Addr()+upstream.PathCompletions, "application/json",
		strings.NewReader(`{"model":"m","prompt":"#crash#"}`))
	is.True(err != nil)
	<-exited
}

func TestRunner_StreamCutOff(t *testing.T) {
	is := is.New(t)
	s := startRunner(t, nil)
	order(t, s, loadOrder("o1", "m", 60))
	waitFor(t, isLoaded(s, "m"))
	s.CutStreams(1)
	resp := post(t, s, upstream.PathCompletions, `{"model":"m","prompt":"p","max_tokens":8,"stream":true}`)
	body, err := io.ReadAll(resp.Body)
	is.True(err != nil)
	is.True(!strings.Contains(string(body), "[DONE]"))
}

func TestService_AnswerLost(t *testing.T) {
	is := is.New(t)
	s := startRunner(t, func(o *Options) { o.Service = "print-orders" })
	s.DropAnswers(1)
	req, _ := http.NewRequest(http.MethodPost, "http://"+s.Addr()+"/orders", strings.NewReader("x"))
	req.Header.Set(HeaderIdempotencyKey, "k1")
	_, err := http.DefaultClient.Do(req)
	is.True(err != nil)
	is.Equal(s.Runs(), map[string]int{"k1": 1})
	resp := post(t, s, "/orders", "x", HeaderIdempotencyKey, "k1", upstream.HeaderAttempt, "a")
	is.Equal(resp.Header.Get(upstream.HeaderAttempt), "a")
	is.Equal(s.Runs(), map[string]int{"k1": 2})
}

// recordingEntry records announcements.
type recordingEntry struct {
	mu            sync.Mutex
	announcements []upstream.Announcement
}

func (e *recordingEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a upstream.Announcement
	_ = json.NewDecoder(r.Body).Decode(&a)
	_ = json.NewEncoder(w).Encode(upstream.AnnounceReply{Known: true})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announcements = append(e.announcements, a)
}

func (e *recordingEntry) received(match func(upstream.Announcement) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.announcements {
		if match(a) {
			return true
		}
	}
	return false
}

func TestAnnounce_FirstEntryDown(t *testing.T) {
	is := is.New(t)
	e := &recordingEntry{}
	srv := httptest.NewServer(e)
	defer srv.Close()
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	s := startRunner(t, func(o *Options) {
		o.Entries = []string{strings.TrimPrefix(down.URL, "http://"), strings.TrimPrefix(srv.URL, "http://")}
	})
	order(t, s, loadOrder("o1", "m", 60))
	waitFor(t, func() bool {
		return e.received(func(a upstream.Announcement) bool {
			return len(a.State.Held) == 1 && !a.State.Held[0].Loading && a.Incarnation == 7
		})
	})
	waitFor(t, func() bool { // heartbeats without a change are brief
		return e.received(func(a upstream.Announcement) bool { return a.LoadOnly && a.FullSequence > 0 && len(a.State.Held) == 0 })
	})
	is.NoErr(s.Leave(context.Background()))
	is.True(e.received(func(a upstream.Announcement) bool { return a.Leaving }))
}

func TestSlots_QueuedByPriority(t *testing.T) {
	is := is.New(t)
	s := &slots{capacity: 1, maxQueued: 4}
	is.NoErr(s.acquire(context.Background(), 1))
	got := make(chan string, 2)
	wait := func(name string, p int) {
		is.NoErr(s.acquire(context.Background(), p))
		got <- name
		s.release()
	}
	go wait("batch", 2)
	waitFor(t, func() bool { _, q := s.counts(); return q == 1 })
	go wait("interactive", 0)
	waitFor(t, func() bool { _, q := s.counts(); return q == 2 })
	s.release()
	is.Equal(<-got, "interactive")
	is.Equal(<-got, "batch")
}
