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
	tokenInterval = 20 * time.Millisecond
	slowInterval  = 400 * time.Millisecond
)

// pacedUpstream streams tokens at a fixed interval, each with the time of its writing.
// It writes HTTP directly to the connection to keep its own cost small.
type pacedUpstream struct {
	ln       net.Listener
	tokens   int
	interval time.Duration
	resume   chan struct{} // if set, streams pause after each token until it is closed
}

func newPacedUpstream(b *testing.B, tokens int, interval time.Duration, resume chan struct{}) *pacedUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	u := &pacedUpstream{ln: ln, tokens: tokens, interval: interval, resume: resume}
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
	tick := time.NewTicker(u.interval)
	defer tick.Stop()
	var buf []byte
	for i := range u.tokens {
		ev := fmt.Sprintf("data: {\"id\":\"cmpl-1\",\"object\":\"text_completion\",\"choices\":[{\"text\":\" fortune\",\"index\":0}],\"index_token\":%d,\"at\":%d}\n\n",
			i, time.Now().UnixNano())
		buf = fmt.Appendf(buf[:0], "%x\r\n%s\r\n", len(ev), ev)
		if _, err := c.Write(buf); err != nil {
			return false
		}
		if u.resume != nil {
			<-u.resume
		}
		<-tick.C
	}
	_, err := io.WriteString(c, "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
	return err == nil
}

var atField = []byte(`"at":`)

// readStream reads one stream to its end mark and appends the latency of each token.
func readStream(addr string, onFirstToken func(), latencies []time.Duration) ([]time.Duration, error) {
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
		if bytes.HasPrefix(line, endEvent[:12]) {
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
		if onFirstToken != nil && len(latencies) == 1 {
			onFirstToken()
		}
	}
}

// bareProxy starts a proxy of the same libraries that only copies bytes, and returns
// its address.
func bareProxy(b *testing.B, target string) string {
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

func entryProxy(b *testing.B, target string) string {
	scheduler := newFakeScheduler()
	scheduler.upstreams["u1"] = target
	scheduler.discardHistory = true
	s, err := New(Options{
		Listen: "127.0.0.1:0", Scheduler: scheduler, Ledger: newFakeLedger(), Config: testConfig(),
		MaxConnsPerUpstream: 4096, DrainSettle: time.Millisecond,
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

func proxies() map[string]func(*testing.B, string) string {
	return map[string]func(*testing.B, string) string{
		"1-direct": func(_ *testing.B, target string) string { return target },
		"2-bare":   bareProxy,
		"3-entry":  entryProxy,
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// BenchmarkRelay streams b.N tokens on each of many streams, 50 a second on each. The
// CPU time is that of the whole process; the cost of a proxy is its difference to
// 1-direct.
func BenchmarkRelay(b *testing.B) {
	for _, name := range sortedKeys(proxies()) {
		for _, streams := range []int{1, 100, 1000, 2000} {
			b.Run(fmt.Sprintf("%s/streams=%d", name, streams), func(b *testing.B) {
				u := newPacedUpstream(b, b.N, tokenInterval, nil)
				addr := proxies()[name](b, u.ln.Addr().String())
				benchStreams(b, addr, streams)
			})
		}
	}
}

func benchStreams(b *testing.B, addr string, streams int) {
	latencies := make([][]time.Duration, streams)
	for i := range latencies {
		latencies[i] = make([]time.Duration, 0, b.N)
	}
	var wg sync.WaitGroup
	b.ResetTimer()
	start, cpu := time.Now(), cpuTime()
	for i := range streams {
		time.Sleep(tokenInterval / time.Duration(streams)) // spread the streams over the interval
		wg.Go(func() {
			var err error
			if latencies[i], err = readStream(addr, nil, latencies[i]); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	cpuUsed, elapsed := cpuTime()-cpu, time.Since(start)
	b.StopTimer()
	var sorted []time.Duration
	for _, l := range latencies {
		sorted = append(sorted, l...)
	}
	if len(sorted) != streams*b.N {
		b.Fatalf("received %d tokens, want %d", len(sorted), streams*b.N)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	b.ReportMetric(float64(cpuUsed.Nanoseconds())/float64(len(sorted)), "cpu-ns/token")
	b.ReportMetric(float64(sorted[len(sorted)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(sorted[len(sorted)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(len(sorted))/elapsed.Seconds(), "tokens/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdleStreams holds streams open after their first token and reports the
// memory of the process per stream.
func BenchmarkIdleStreams(b *testing.B) {
	const streams = 1000
	for _, name := range sortedKeys(proxies()) {
		b.Run(name, func(b *testing.B) {
			resume := make(chan struct{})
			u := newPacedUpstream(b, 1, tokenInterval, resume)
			addr := proxies()[name](b, u.ln.Addr().String())
			before := memoryUsage()
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
			b.ReportMetric(float64(memoryUsage()-before)/streams, "B/stream")
			b.ReportMetric(0, "ns/op")
			close(resume)
			done.Wait()
		})
	}
}

// memoryUsage returns the bytes that the process uses for its heap and stacks.
func memoryUsage() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkNewRequest measures the time to the first token of new requests while 2000
// streams deliver 5000 tokens a second in total.
func BenchmarkNewRequest(b *testing.B) {
	const streams = 2000
	for _, name := range sortedKeys(proxies()) {
		b.Run(name, func(b *testing.B) {
			end := make(chan struct{})
			busy := newPacedUpstream(b, 1<<30, slowInterval, nil)
			short := newPacedUpstream(b, 1, tokenInterval, nil)
			shortAddr := proxies()[name](b, short.ln.Addr().String())
			busyAddr := proxies()[name](b, busy.ln.Addr().String())
			var first sync.WaitGroup
			first.Add(streams)
			var failed atomic.Int32
			for range streams {
				time.Sleep(time.Millisecond) // a burst of dials would measure the listen backlog instead
				go func() {
					if !holdStream(busyAddr, first.Done, end) {
						failed.Add(1)
						first.Done()
					}
				}()
			}
			first.Wait()
			if n := failed.Load(); n > 0 {
				b.Fatalf("%d streams did not start", n)
			}
			latencies := make([]time.Duration, 0, b.N)
			b.ResetTimer()
			for range b.N {
				start := time.Now()
				if _, err := readStream(shortAddr, func() { latencies = append(latencies, time.Since(start)) }, nil); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			close(end)
			sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// holdStream reads one stream until end is closed. It reports whether the stream started.
func holdStream(addr string, onFirstToken func(), end <-chan struct{}) bool {
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
	for started := false; ; {
		n, err := c.Read(buf)
		if err != nil || !started && !bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 200")) && !bytes.Contains(buf[:n], atField) {
			return started
		}
		if !started && bytes.Contains(buf[:n], atField) {
			started = true
			onFirstToken()
		}
	}
}
