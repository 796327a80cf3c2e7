package orders

import (
	"strings"
	"testing"
	"time"
)

// allFaults enables every fault except isolation.
var allFaults = faults{
	lostCommit: 0.15, lateCommit: 0.15, lostSend: 0.2, lostReply: 0.2, lostRead: 0.1, duplicateAnnounce: 0.4,
	crashEvery: 8 * time.Second, takeoverEvery: 6 * time.Second, manualLoadEvery: 3 * time.Second,
}

const (
	mechanismSeeds   = 60
	mechanismRunTime = 30 * time.Second
)

// firstFailure runs seeded simulations with a mechanism disabled and returns the first
// failure, or "" if there is none.
func firstFailure(m mechanism, f faults) string {
	for seed := range uint64(mechanismSeeds) {
		sim := newSimulation(seed, newFakeLog(4, 1, 40), 3, f)
		sim.opts.disabled = m
		sim.startScheduler(0)
		sim.randomDemand()
		sim.run(mechanismRunTime)
		sim.expectRecovery()
		if len(sim.failures) > 0 {
			return sim.failures[0]
		}
	}
	return ""
}

// Fault sets that provoke the failures of single mechanisms.
var (
	crashFaults     = withFaultsChanged(func(f *faults) { f.takeoverEvery = 0 })
	isolationFaults = withFaultsChanged(func(f *faults) { f.takeoverEvery, f.isolateEvery = 0, 10*time.Second })
	takeoverFaults  = faults{takeoverEvery: 4 * time.Second, lostSend: 0.4, idleRequests: 0.1}
)

func withFaultsChanged(change func(*faults)) faults {
	f := allFaults
	change(&f)
	return f
}

func TestMechanisms_AllEnabled(t *testing.T) {
	for _, f := range []faults{allFaults, crashFaults, isolationFaults, takeoverFaults} {
		if failure := firstFailure(mechanismNone, f); failure != "" {
			t.Errorf("%+v: %s", f, failure)
		}
	}
}

// Each mechanism prevents a failure that the fault set provokes once it is disabled.
func TestMechanisms_EachDisabledFails(t *testing.T) {
	for _, c := range []struct {
		name string
		m    mechanism
		f    faults
		want string // part of the failure
	}{
		{"order committed before it is sent", mechanismCommitFirst, allFaults, "commit first"},
		{"stale announcements dropped", mechanismStaleAnnouncements, crashFaults, ""},
		{"takeover waits until no order of the former holder can arrive", mechanismTakeoverWait, takeoverFaults, "requests run"},
		{"one order at a time without fencing", mechanismSerial, allFaults, "serial"},
		{"unknown outcome keeps slot and memory", mechanismKeepUnknown, crashFaults, ""},
		{"unknown commit resolved from the log", mechanismReadLog, crashFaults, "not ready"},
		{"grants stop before an unload", mechanismDrainGrants, crashFaults, "requests run"},
		{"silent upstream kept until known dead", mechanismKnownDead, isolationFaults, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			failure := firstFailure(c.m, c.f)
			if failure == "" || !strings.Contains(failure, c.want) {
				t.Fatalf("with the mechanism disabled: %q", failure)
			}
			t.Log(failure)
		})
	}
}
