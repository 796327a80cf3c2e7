package capacity

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gentiankeel/internal/orders"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// newAnnouncement returns a runner's announcement: a full one with checkpoints of all
// models if base is 0, else a brief one that refers to the full one numbered base.
func newAnnouncement(runner, models int, sequence, base uint64) upstream.Announcement {
	a := upstream.Announcement{
		ID: fmt.Sprintf("runner-%04d", runner), Incarnation: 1796354108766000618, Sequence: sequence,
		Address: fmt.Sprintf("10.0.%d.%d:8000", runner/250, runner%250+1), Zone: "tay-a", Cell: "tay",
		ChecksFencing: true, MemoryMiB: 81920, Slots: 16, LoadOnly: base != 0, FullSequence: base,
		State: upstream.State{Incarnation: 1796354108766000618, Fence: 7, Running: 4},
	}
	if base != 0 {
		return a
	}
	for i := range models {
		a.State.Checkpoints = append(a.State.Checkpoints,
			upstream.Checkpoint{Model: fmt.Sprintf("model-%04d", i), Version: "1", Tier: "disk"})
	}
	return a
}

// BenchmarkAnnounce measures the cost, in the scheduler's core, of an announcement of one of
// a cell's upstreams, full or brief.
func BenchmarkAnnounce(b *testing.B) {
	for _, runners := range []int{12, 126, 1000, 3400} {
		for _, full := range []bool{true, false} {
			b.Run(fmt.Sprintf("runners=%d/whole=%t", runners, full), func(b *testing.B) {
				const models = 750
				heapBefore := liveHeap()
				c := orders.New(orders.Options{Cell: "tay", Lease: "scheduler/tay", Fence: 1})
				step := func(now time.Duration, ev orders.Event) {
					if _, err := c.Step(now, ev); err != nil {
						b.Fatal(err)
					}
				}
				step(0, orders.LogRead{Spec: &wire.Spec{}})
				for i := range runners {
					step(0, orders.Announced{Announcement: newAnnouncement(i, models, 1, 0)})
				}
				heapUsed := liveHeap() - heapBefore
				sequence, last := uint64(1), newAnnouncement(0, models, 1, 0)
				b.ResetTimer()
				for b.Loop() {
					sequence++
					base := uint64(1)
					if full {
						base = 0
					}
					last = newAnnouncement(int(sequence)%runners, models, sequence, base)
					step(time.Duration(sequence)*time.Microsecond, orders.Announced{Announcement: last})
				}
				b.StopTimer()
				data, err := json.Marshal(last)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "B/announcement")
				b.ReportMetric(heapUsed/1024/float64(runners), "KiB/runner")
			})
		}
	}
}
