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

// roundTrip is between two availability zones: one to one and a half milliseconds one way.
const roundTrip = 2500 * time.Microsecond

// disk is a VM's log file: one append and one sync for each record.
type disk struct {
	mu   sync.Mutex
	file *os.File
	slow func() time.Duration // delay of a straggling VM
}

func newDisk(b *testing.B, name string) *disk {
	f, err := os.Create(filepath.Join(b.TempDir(), name))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	return &disk{file: f, slow: func() time.Duration { return 0 }}
}

func (d *disk) store(record []byte) {
	time.Sleep(d.slow())
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = d.file.Write(record)
	_ = d.file.Sync()
}

// replicate stores on the local disk and on the others, and returns when the local one
// and need of the others have stored it.
func replicate(record []byte, local *disk, others []*disk, need int) {
	stored := make(chan bool, len(others))
	for _, d := range others {
		go func() {
			time.Sleep(roundTrip)
			d.store(record)
			stored <- true
		}()
	}
	local.store(record)
	for range need {
		<-stored
	}
}

// BenchmarkLedgerPlace compares where a key can be recorded before its call is sent: on
// a quorum of three VMs, or on a primary and its secondary. Each disk is real, the
// distance between them is slept.
func BenchmarkLedgerPlace(b *testing.B) {
	for _, place := range []struct {
		name   string
		others int
	}{{"quorum-of-three", 2}, {"primary-and-secondary", 1}} {
		for _, straggler := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/straggler=%t", place.name, straggler), func(b *testing.B) {
				local := newDisk(b, "local")
				others := []*disk{newDisk(b, "a"), newDisk(b, "b")}[:place.others]
				if straggler {
					var n atomic.Int64
					// One other VM is late by 20 ms for one record in twenty.
					others[0].slow = func() time.Duration {
						if n.Add(1)%20 == 0 {
							return 20 * time.Millisecond
						}
						return 0
					}
				}
				benchmarkPlace(b, local, others)
			})
		}
	}
}

func benchmarkPlace(b *testing.B, local *disk, others []*disk) {
	record := make([]byte, 300)
	var took []time.Duration
	for b.Loop() {
		began := time.Now()
		replicate(record, local, others, 1)
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}

// BenchmarkLedgerMemory reports the heap that one live key and one forgotten key take.
func BenchmarkLedgerMemory(b *testing.B) {
	const keys = 100_000
	for b.Loop() {
		r := newRig(switches{})
		empty := heapBytes()
		for k := range keys {
			key := fmt.Sprintf("booking-%08d", k)
			r.apply(beginCommand(key))
			r.apply(finishCommand(key))
		}
		live := heapBytes()
		r.now += 2 * day
		r.death("b", "u1", 1) // any command moves the time
		if len(r.m.ledger.live) != 0 || len(r.m.ledger.forgotten) != keys {
			b.Fatal("the keys are not forgotten")
		}
		// Maps don't shrink; a machine restored from the snapshot holds the hashes only.
		data, _ := r.m.Snapshot()
		r = nil
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
