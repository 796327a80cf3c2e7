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

func TestMechanisms_AllInHoldUnderHardFaults(t *testing.T) {
	if why := firstFailure(mechNone, hardFaults); why != "" {
		t.Fatal(why)
	}
}

func TestMechanisms_EachOneTakenOutFails(t *testing.T) {
	crashes := hardFaults
	crashes.takeoverEvery = 0
	silent := hardFaults
	silent.takeoverEvery = 0
	silent.silentEvery = 10 * time.Second
	for _, c := range []struct {
		name string
		m    mechanism
		f    faults
		want string // part of the failure
	}{
		{"decision committed before it is sent", mechCommitFirst, hardFaults, "commit first"},
		{"old announcements dropped", mechOldAnnouncements, crashes, ""},
		{"takeover waits for old orders", mechTakeoverWait, hardFaults, ""},
		{"one order at a time", mechSerial, hardFaults, "serial"},
		{"unknown outcome holds slot and memory", mechHoldUnknown, crashes, ""},
		{"unknown commit resolved from the log", mechReadLog, crashes, "not ready"},
		{"grants stop before an unload", mechDrainGrants, crashes, "requests run"},
		{"silence alone frees nothing", mechKnownDead, silent, ""},
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
