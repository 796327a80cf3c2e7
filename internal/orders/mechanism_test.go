package orders

import (
	"strings"
	"testing"
	"time"
)

// hardFaults provoke every failure that the mechanisms are meant for.
var hardFaults = faults{
	lostCommit: 0.15, lateCommit: 0.15, lostSend: 0.2, lostReply: 0.2, lostRead: 0.1, dupAnnounce: 0.4,
	crashEvery: 8 * time.Second, takeoverEvery: 6 * time.Second, strayEvery: 3 * time.Second,
}

const (
	mechanismSeeds = 60
	mechanismSpan  = 30 * time.Second
)

// firstFailure runs seeded worlds without a mechanism until one fails.
func firstFailure(m mechanism, f faults) string {
	for seed := range uint64(mechanismSeeds) {
		w := newWorld(seed, newFakeLog(4, 1, 40), 3, f)
		w.opts.disabled = m
		w.start(0)
		w.randomDemand()
		w.run(mechanismSpan)
		w.settleDown()
		if len(w.fails) > 0 {
			return w.fails[0]
		}
	}
	return ""
}

// Fault sets that bring single mechanisms out.
var (
	crashFaults    = without(func(f *faults) { f.takeoverEvery = 0 })
	silentFaults   = without(func(f *faults) { f.takeoverEvery, f.silentEvery = 0, 10*time.Second })
	takeoverFaults = faults{takeoverEvery: 4 * time.Second, lostSend: 0.4, idleRequests: 0.1}
)

func without(change func(*faults)) faults {
	f := hardFaults
	change(&f)
	return f
}

func TestMechanisms_AllInHold(t *testing.T) {
	for _, f := range []faults{hardFaults, crashFaults, silentFaults, takeoverFaults} {
		if why := firstFailure(mechNone, f); why != "" {
			t.Errorf("%+v: %s", f, why)
		}
	}
}

func TestMechanisms_EachOneTakenOutFails(t *testing.T) {
	for _, c := range []struct {
		name string
		m    mechanism
		f    faults
		want string // part of the failure
	}{
		{"decision committed before it is sent", mechCommitFirst, hardFaults, "commit first"},
		{"old announcements dropped", mechOldAnnouncements, crashFaults, ""},
		{"takeover waits for old orders", mechTakeoverWait, takeoverFaults, "requests run"},
		{"one order at a time", mechSerial, hardFaults, "serial"},
		{"unknown outcome holds slot and memory", mechHoldUnknown, crashFaults, ""},
		{"unknown commit resolved from the log", mechReadLog, crashFaults, "not ready"},
		{"grants stop before an unload", mechDrainGrants, crashFaults, "requests run"},
		{"silence alone frees nothing", mechKnownDead, silentFaults, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			why := firstFailure(c.m, c.f)
			if why == "" || !strings.Contains(why, c.want) {
				t.Fatalf("without the mechanism: %q", why)
			}
			t.Log(why)
		})
	}
}
