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

// randomDemand replaces the demand by a random one, repeatedly.
func (sim *simulation) randomDemand() {
	if sim.demandStopped {
		return
	}
	sim.demand = sim.demand[:0:0]
	for _, m := range sim.log.spec.Models {
		for _, adapter := range []string{"", "x"} {
			if sim.randomBool(0.25) {
				sim.demand = append(sim.demand, placement.Demand{
					Model: m.Name, Adapter: adapter, Waiting: 1 + sim.rng.IntN(12), Oldest: sim.now, Deadline: sim.now + time.Minute, Class: wire.Class_CLASS_NORMAL,
				})
			}
		}
	}
	sim.after(sim.randomDuration(8*time.Second), sim.randomDemand)
}

func TestRandomFaults_InvariantsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := func(name string) float64 { return float64(rapid.IntRange(0, 20).Draw(t, name)) / 100 }
		f := faults{
			lostCommit: p("lostCommit"), lateCommit: p("lateCommit"), lostSend: p("lostSend"),
			lostReply: p("lostReply"), lostRead: p("lostRead"), duplicateAnnounce: p("duplicateAnnounce"),
		}
		if rapid.Bool().Draw(t, "crashes") {
			f.crashEvery = 10 * time.Second
		}
		if rapid.Bool().Draw(t, "isolations") {
			f.isolateEvery = 20 * time.Second
		}
		if rapid.Bool().Draw(t, "manual loads") {
			f.manualLoadEvery = 5 * time.Second
		}
		if rapid.Bool().Draw(t, "takeovers") {
			f.takeoverEvery = 15 * time.Second
		}
		log := newFakeLog(rapid.IntRange(1, 5).Draw(t, "models"), rapid.Uint64Range(1, 2).Draw(t, "replicas"), rapid.Uint64Range(20, 60).Draw(t, "mem"))
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), log, rapid.IntRange(1, 4).Draw(t, "runners"), f)
		sim.startScheduler(0)
		sim.randomDemand()
		sim.run(30 * time.Second)
		sim.expectRecovery()
		if len(sim.failures) > 0 {
			t.Fatal(sim.report())
		}
	})
}
