package grant

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gentiankeel/internal/wire"
)

// benchCore returns a core with upstreams of 16 slots that hold four models each, and the
// models' names. Every model is ready on three upstreams.
func benchCore(b *testing.B, upstreams int) (*Core, []string) {
	b.Helper()
	c := New(Options{Settings: DefaultSettings(), Seed: 1})
	models := upstreams * 4 / 3
	spec := &wire.Spec{}
	var names []string
	for i := range models {
		names = append(names, fmt.Sprintf("model%04d", i))
		spec.Models = append(spec.Models, &wire.Model{Name: names[i], Version: "v1", Replicas: 3})
	}
	c.Step(0, SpecChanged{spec})
	for i := range upstreams {
		c.Step(0, benchState(i, names))
	}
	return c, names
}

func benchState(i int, names []string) UpstreamState {
	u := UpstreamState{ID: fmt.Sprintf("upstream%04d", i), Incarnation: 1, Slots: 16}
	for k := range 4 {
		u.Ready = append(u.Ready, Ready{Model: names[(i*4+k)%len(names)], Version: "v1"})
	}
	return u
}

// BenchmarkStep measures a request with its grant and its release, at a thousand requests
// a second, and a load report, by the number of upstreams.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{12, 126, 1000} {
		b.Run(fmt.Sprintf("request-release/upstreams=%d", n), func(b *testing.B) {
			c, names := benchCore(b, n)
			now := Time(0)
			running := make([]string, 0, 64)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += time.Millisecond
				req := SlotRequest{
					Attempt: fmt.Sprint("a", i), Request: fmt.Sprint("r", i), Entry: "e1", Caller: "c1",
					Model: names[i%len(names)], Class: wire.Class_CLASS_INTERACTIVE,
					Deadline: now + time.Minute, MaxTokens: 100, BodyDigest: fmt.Sprint("d", i),
				}
				c.Step(now, req)
				running = append(running, req.Attempt)
				if len(running) == cap(running) {
					c.Step(now, okRelease(running[0], 80))
					running = append(running[:0], running[1:]...)
				}
			}
		})
		b.Run(fmt.Sprintf("report/upstreams=%d", n), func(b *testing.B) {
			c, names := benchCore(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				c.Step(Time(i)*time.Millisecond, benchState(i%n, names))
			}
		})
	}
}

// BenchmarkService measures one call to a plain service that all upstreams provide.
func BenchmarkService(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			c := New(Options{Settings: DefaultSettings(), Seed: 1})
			c.Step(0, SpecChanged{testSpec(0)})
			for i := range n {
				c.Step(0, UpstreamState{ID: fmt.Sprintf("s%04d", i), Incarnation: 1, Service: "desk", Slots: 16})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := Time(i) * time.Millisecond
				req := SlotRequest{Attempt: fmt.Sprint("a", i), Entry: "e1", Caller: "c1", Service: "desk", Deadline: now + time.Minute}
				c.Step(now, req)
				c.Step(now, Release{Attempt: req.Attempt, Outcome: wire.Outcome_OUTCOME_OK, Duration: time.Millisecond})
			}
		})
	}
}

// BenchmarkQueue measures a request and a release while all slots are in use and 200
// attempts wait for the model.
func BenchmarkQueue(b *testing.B) {
	c, names := benchCore(b, 12)
	now := Time(0)
	var running []string
	n := 0
	request := func() {
		n++
		req := SlotRequest{
			Attempt: fmt.Sprint("a", n), Entry: "e1", Caller: fmt.Sprint("c", n%10), Model: names[0],
			Class: wire.Class(n%3 + 1), Deadline: now + time.Hour, MaxTokens: 100,
		}
		for _, g := range grants(c.Step(now, req)) {
			running = append(running, g.Attempt)
		}
	}
	for range 248 {
		request()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now += time.Millisecond
		for _, g := range grants(c.Step(now, okRelease(running[0], 80))) {
			running = append(running, g.Attempt)
		}
		running = running[1:]
		request()
	}
}

// BenchmarkState reports the memory of a core by the number of upstreams, with one attempt
// running on each slot and as many attempts waiting as upstreams.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{12, 126, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c, names := benchCore(b, n)
			for i := range n * 17 {
				c.Step(0, SlotRequest{
					Attempt: fmt.Sprint("attempt", i), Request: fmt.Sprint("request", i), Entry: "e1",
					Caller: fmt.Sprint("caller", i%10), Model: names[i%len(names)], Deadline: time.Hour,
					MaxTokens: 100, BodyDigest: fmt.Sprint("digest", i),
				})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/upstream")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(c)
		})
	}
}
