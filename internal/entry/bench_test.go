package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"gentiankeel/internal/upstream"
)

// Times between two tokens of one stream.
const (
	tokenPace = 20 * time.Millisecond
	slowPace  = 400 * time.Millisecond
)

// pacedUpstream streams tokens that carry the time of their writing. It speaks HTTP by
// hand, so that its own cost stays small.
type pacedUpstream struct {
	ln     net.Listener
	tokens int
	pace   time.Duration
	idle   chan struct{} // when set, streams stop after one token until it is closed
}

func newPacedUpstream(b *testing.B, tokens int, pace time.Duration, idle chan struct{}) *pacedUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	u := &pacedUpstream{ln: ln, tokens: tokens, pace: pace, idle: idle}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	b.Cleanup(func() { ln.Close() })
	return u
}

func (u *pacedUpstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 1024)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
			req.Header.Get(upstream.HeaderAttempt))
		if !u.stream(c) {
			return
		}
	}
}

func (u *pacedUpstream) stream(c net.Conn) bool {
	tick := time.NewTicker(u.pace)
	defer tick.Stop()
	var buf []byte
	for i := range u.tokens {
		ev := fmt.Sprintf("data: {\"id\":\"cmpl-1\",\"object\":\"text_completion\",\"choices\":[{\"text\":\" fortune\",\"index\":0}],\"index_token\":%d,\"at\":%d}\n\n",
			i, time.Now().UnixNano())
		buf = fmt.Appendf(buf[:0], "%x\r\n%s\r\n", len(ev), ev)
		if _, err := c.Write(buf); err != nil {
			return false
		}
		if u.idle != nil {
			<-u.idle
		}
		<-tick.C
	}
	_, err := io.WriteString(c, "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
	return err == nil
}

var atField = []byte(`"at":`)

// readStream reads one stream to its end mark and returns each token's latency.
func readStream(addr string, first func(), latencies []time.Duration) ([]time.Duration, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(streamBody), streamBody)
	r := bufio.NewReaderSize(c, 4096)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return nil, err
		}
		if bytes.HasPrefix(line, eventEnd[:12]) {
			return latencies, nil
		}
		at := bytes.Index(line, atField)
		if at < 0 {
			continue
		}
		sent, err := strconv.ParseInt(string(bytes.TrimRight(line[at+len(atField):], "}\r\n")), 10, 64)
		if err != nil {
			return nil, err
		}
		latencies = append(latencies, time.Duration(time.Now().UnixNano()-sent))
		if first != nil && len(latencies) == 1 {
			first()
		}
	}
}

// bareRelay passes bytes between the same libraries without any decision.
func bareRelay(b *testing.B, target string) string {
	logging.SetLevel(logging.LevelNone)
	transport := &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}
	handler := func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequest(http.MethodPost, "http://"+target+r.URL.Path, r.Body)
		if err != nil {
			return
		}
		res, err := transport.RoundTrip(req)
		if err != nil {
			return
		}
		defer res.Body.Close()
		w.Header().Set("Content-Type", res.Header.Get("Content-Type"))
		w.Header().Set("Transfer-Encoding", "chunked")
		buf := make([]byte, 4096)
		for {
			n, err := res.Body.Read(buf)
			if n > 0 {
				_, _ = w.Write(buf[:n])
				w.(http.Flusher).Flush()
			}
			if err != nil {
				return
			}
		}
	}
	e := nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp", Addrs: []string{"127.0.0.1:0"}, SupportServerOnly: true,
		Handler: http.HandlerFunc(handler), ServerExecutor: func(f func()) { go f() },
	})
	if err := e.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(e.Stop)
	return e.AddrConfigs[0].Addr
}

func entryRelay(b *testing.B, target string) string {
	slots := newFakeSlots()
	slots.upstreams["u1"] = target
	slots.quiet = true
	s, err := New(Options{
		Listen: "127.0.0.1:0", Slots: slots, Ledger: newFakeLedger(), Config: testConfig(),
		MaxConnsPerUpstream: 4096, Settle: time.Millisecond,
	})
	if err != nil {
		b.Fatal(err)
	}
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Shutdown(b.Context()) })
	return s.Addr()
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func relays() map[string]func(*testing.B, string) string {
	return map[string]func(*testing.B, string) string{
		"1-direct": func(_ *testing.B, target string) string { return target },
		"2-bare":   bareRelay,
		"3-entry":  entryRelay,
	}
}

func sorted[V any](m map[string]V) []string {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// BenchmarkRelay streams b.N tokens on each of many streams, 50 a second on each. The
// processor time is the whole process's: the relay's own share is what it lies above
// direct.
func BenchmarkRelay(b *testing.B) {
	for _, name := range sorted(relays()) {
		for _, streams := range []int{1, 100, 1000, 2000} {
			b.Run(fmt.Sprintf("%s/streams=%d", name, streams), func(b *testing.B) {
				u := newPacedUpstream(b, b.N, tokenPace, nil)
				addr := relays()[name](b, u.ln.Addr().String())
				benchStreams(b, addr, streams)
			})
		}
	}
}

func benchStreams(b *testing.B, addr string, streams int) {
	all := make([][]time.Duration, streams)
	for i := range all {
		all[i] = make([]time.Duration, 0, b.N)
	}
	var wg sync.WaitGroup
	b.ResetTimer()
	start, cpu := time.Now(), cpuTime()
	for i := range streams {
		time.Sleep(tokenPace / time.Duration(streams)) // spread the streams over the pace
		wg.Go(func() {
			var err error
			if all[i], err = readStream(addr, nil, all[i]); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	spent, took := cpuTime()-cpu, time.Since(start)
	b.StopTimer()
	var flat []time.Duration
	for _, l := range all {
		flat = append(flat, l...)
	}
	if len(flat) != streams*b.N {
		b.Fatalf("%d tokens came, %d were sent", len(flat), streams*b.N)
	}
	sort.Slice(flat, func(i, j int) bool { return flat[i] < flat[j] })
	b.ReportMetric(float64(spent.Nanoseconds())/float64(len(flat)), "cpu-ns/token")
	b.ReportMetric(float64(flat[len(flat)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(flat[len(flat)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(len(flat))/took.Seconds(), "tokens/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdleStreams holds streams open after their first token and reports the
// memory of the process for each.
func BenchmarkIdleStreams(b *testing.B) {
	const streams = 1000
	for _, name := range sorted(relays()) {
		b.Run(name, func(b *testing.B) {
			idle := make(chan struct{})
			u := newPacedUpstream(b, 1, tokenPace, idle)
			addr := relays()[name](b, u.ln.Addr().String())
			before := memory()
			var first, done sync.WaitGroup
			first.Add(streams)
			for range streams {
				done.Go(func() {
					if _, err := readStream(addr, first.Done, nil); err != nil {
						b.Error(err)
					}
				})
			}
			first.Wait()
			b.ReportMetric(float64(memory()-before)/streams, "B/stream")
			b.ReportMetric(0, "ns/op")
			close(idle)
			done.Wait()
		})
	}
}

// memory is what the process uses for its heap and stacks.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkNewRequest measures the time to the first token of new requests beside 2000
// streams that go on at 5000 tokens a second together.
func BenchmarkNewRequest(b *testing.B) {
	const streams = 2000
	for _, name := range sorted(relays()) {
		b.Run(name, func(b *testing.B) {
			end := make(chan struct{})
			busy := newPacedUpstream(b, 1<<30, slowPace, nil)
			short := newPacedUpstream(b, 1, tokenPace, nil)
			addr := relays()[name](b, short.ln.Addr().String())
			load := relays()[name](b, busy.ln.Addr().String())
			var first sync.WaitGroup
			first.Add(streams)
			var refused atomic.Int32
			for range streams {
				time.Sleep(time.Millisecond) // a burst of dials would measure the backlog
				go func() {
					if !holdStream(load, first.Done, end) {
						refused.Add(1)
						first.Done()
					}
				}()
			}
			first.Wait()
			if n := refused.Load(); n > 0 {
				b.Fatalf("%d streams did not begin", n)
			}
			took := make([]time.Duration, 0, b.N)
			b.ResetTimer()
			for range b.N {
				start := time.Now()
				if _, err := readStream(addr, func() { took = append(took, time.Since(start)) }, nil); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			close(end)
			sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// holdStream reads one stream until end is closed; it reports whether it began.
func holdStream(addr string, first func(), end <-chan struct{}) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: 600000\r\nContent-Length: %d\r\n\r\n%s", len(streamBody), streamBody)
	go func() {
		<-end
		c.Close()
	}()
	buf := make([]byte, 4096)
	for began := false; ; {
		n, err := c.Read(buf)
		if err != nil || !began && !bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 200")) && !bytes.Contains(buf[:n], atField) {
			return began
		}
		if !began && bytes.Contains(buf[:n], atField) {
			began = true
			first()
		}
	}
}
