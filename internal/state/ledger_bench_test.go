package state

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// zoneRoundTrip is the round trip between two availability zones; one way takes 1 to
// 1.5 ms.
const zoneRoundTrip = 2500 * time.Microsecond

// disk is a VM's log file. Each record takes one append and one sync.
type disk struct {
	mu    sync.Mutex
	file  *os.File
	delay func() time.Duration // extra delay of a record, for a straggling VM
}

func newDisk(b *testing.B, name string) *disk {
	f, err := os.Create(filepath.Join(b.TempDir(), name))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	return &disk{file: f, delay: func() time.Duration { return 0 }}
}

func (d *disk) store(record []byte) {
	time.Sleep(d.delay())
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = d.file.Write(record)
	_ = d.file.Sync()
}

// replicate stores a record on the local disk and on the others. It returns when the local
// disk and the required number of the others have stored it.
func replicate(record []byte, local *disk, others []*disk, required int) {
	stored := make(chan bool, len(others))
	for _, d := range others {
		go func() {
			time.Sleep(zoneRoundTrip)
			d.store(record)
			stored <- true
		}()
	}
	local.store(record)
	for range required {
		<-stored
	}
}

// BenchmarkLedgerLayout compares two layouts for recording a key before its call is sent: a
// quorum of three VMs, and a primary with a secondary. The disk writes are real, the
// network round trips are simulated by sleeping.
func BenchmarkLedgerLayout(b *testing.B) {
	for _, layout := range []struct {
		name   string
		others int
	}{{"quorum-of-three", 2}, {"primary-and-secondary", 1}} {
		for _, straggler := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/straggler=%t", layout.name, straggler), func(b *testing.B) {
				local := newDisk(b, "local")
				others := []*disk{newDisk(b, "a"), newDisk(b, "b")}[:layout.others]
				if straggler {
					var n atomic.Int64
					// One of the other VMs delays one record in twenty by 20 ms.
					others[0].delay = func() time.Duration {
						if n.Add(1)%20 == 0 {
							return 20 * time.Millisecond
						}
						return 0
					}
				}
				benchmarkReplicate(b, local, others)
			})
		}
	}
}

func benchmarkReplicate(b *testing.B, local *disk, others []*disk) {
	record := make([]byte, 300)
	var durations []time.Duration
	for b.Loop() {
		start := time.Now()
		replicate(record, local, others, 1)
		durations = append(durations, time.Since(start))
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-us")
}

// BenchmarkLedgerMemory reports the heap bytes of one live key and of one forgotten key.
func BenchmarkLedgerMemory(b *testing.B) {
	const keys = 100_000
	for b.Loop() {
		h := newHarness(disabledChecks{})
		empty := heapBytes()
		for k := range keys {
			key := fmt.Sprintf("booking-%08d", k)
			h.apply(beginKeyCommand(key))
			h.apply(finishKeyCommand(key))
		}
		live := heapBytes()
		h.now += 2 * day
		h.reportDeath("b", "u1", 1) // any command advances the state time
		if len(h.m.ledger.live) != 0 || len(h.m.ledger.forgotten) != keys {
			b.Fatal("the keys are not forgotten")
		}
		// Maps don't shrink, so measure a machine restored from a snapshot, which holds
		// only the hashes.
		data, _ := h.m.Snapshot()
		h = nil
		before := heapBytes()
		restored := New(Options{})
		if err := restored.Restore(1<<62, data); err != nil {
			b.Fatal(err)
		}
		forgotten := heapBytes() - before
		runtime.KeepAlive(restored)
		runtime.KeepAlive(data)
		b.ReportMetric(float64(live-empty)/keys, "live-bytes/key")
		b.ReportMetric(float64(forgotten)/keys, "forgotten-bytes/key")
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
