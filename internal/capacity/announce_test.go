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

// announcementOf returns a runner's announcement with checkpoints of all models and 20
// held models and adapters; a brief one goes back to the full one that it names.
func announcementOf(runner, models int, sequence, full uint64) upstream.Announcement {
	a := upstream.Announcement{
		ID: fmt.Sprintf("runner-%04d", runner), Incarnation: 1796354108766000618, Sequence: sequence,
		Address: fmt.Sprintf("10.0.%d.%d:8000", runner/250, runner%250+1), Zone: "tay-a", Cell: "tay",
		ChecksFencing: true, MemoryMiB: 81920, Slots: 16, LoadOnly: full != 0, FullSequence: full,
		State: upstream.State{Incarnation: 1796354108766000618, Fence: 7, Running: 4},
	}
	if full != 0 {
		return a
	}
	for i := range models {
		a.State.Checkpoints = append(a.State.Checkpoints,
			upstream.Checkpoint{Model: fmt.Sprintf("model-%04d", i), Version: "1", Tier: "disk"})
	}
	return a
}

// BenchmarkAnnounce measures a cell's upstreams as the scheduler's core hears them:
// whole announcements and heartbeats.
func BenchmarkAnnounce(b *testing.B) {
	for _, runners := range []int{12, 126, 1000, 3400} {
		for _, whole := range []bool{true, false} {
			b.Run(fmt.Sprintf("runners=%d/whole=%t", runners, whole), func(b *testing.B) {
				const models = 750
				before := heap()
				c := orders.New(orders.Options{Cell: "tay", Lease: "scheduler/tay", Fence: 1})
				step := func(now time.Duration, ev orders.Event) {
					if _, err := c.Step(now, ev); err != nil {
						b.Fatal(err)
					}
				}
				step(0, orders.LogRead{Spec: &wire.Spec{}})
				for i := range runners {
					step(0, orders.Announced{Announcement: announcementOf(i, models, 1, 0)})
				}
				held := heap() - before
				sequence, last := uint64(1), announcementOf(0, models, 1, 0)
				b.ResetTimer()
				for b.Loop() {
					sequence++
					base := uint64(1)
					if whole {
						base = 0
					}
					last = announcementOf(int(sequence)%runners, models, sequence, base)
					step(time.Duration(sequence)*time.Microsecond, orders.Announced{Announcement: last})
				}
				b.StopTimer()
				data, err := json.Marshal(last)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "B/announcement")
				b.ReportMetric(held/1024/float64(runners), "KiB/runner")
			})
		}
	}
}
