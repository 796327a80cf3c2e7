package orders

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiankeel/internal/placement"
	"gentiankeel/internal/wire"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// randomDemand lets some models be wanted for a while.
func (w *world) randomDemand() {
	if w.quiet {
		return
	}
	w.demand = w.demand[:0:0]
	for _, m := range w.log.spec.Models {
		for _, adapter := range []string{"", "x"} {
			if w.chance(0.25) {
				w.demand = append(w.demand, placement.Demand{
					Model: m.Name, Adapter: adapter, Waiting: 1 + w.rnd.IntN(12), Oldest: w.now, Deadline: w.now + time.Minute, Class: wire.Class_CLASS_NORMAL,
				})
			}
		}
	}
	w.after(w.rndTime(8*time.Second), w.randomDemand)
}

func TestRandomWorld_FaultsBreakNoRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := func(name string) float64 { return float64(rapid.IntRange(0, 20).Draw(t, name)) / 100 }
		f := faults{
			lostCommit: p("lostCommit"), lateCommit: p("lateCommit"), lostSend: p("lostSend"),
			lostReply: p("lostReply"), lostRead: p("lostRead"), dupAnnounce: p("dup"),
		}
		if rapid.Bool().Draw(t, "crashes") {
			f.crashEvery = 10 * time.Second
		}
		if rapid.Bool().Draw(t, "silent") {
			f.silentEvery = 20 * time.Second
		}
		if rapid.Bool().Draw(t, "strays") {
			f.strayEvery = 5 * time.Second
		}
		if rapid.Bool().Draw(t, "takeovers") {
			f.takeoverEvery = 15 * time.Second
		}
		log := newFakeLog(rapid.IntRange(1, 5).Draw(t, "models"), rapid.Uint64Range(1, 2).Draw(t, "replicas"), rapid.Uint64Range(20, 60).Draw(t, "mem"))
		w := newWorld(rapid.Uint64().Draw(t, "seed"), log, rapid.IntRange(1, 4).Draw(t, "runners"), f)
		w.start(0)
		w.randomDemand()
		w.run(30 * time.Second)
		w.settleDown()
		if len(w.fails) > 0 {
			t.Fatal(w.report())
		}
	})
}
