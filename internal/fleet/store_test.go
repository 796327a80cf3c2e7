package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/routing"
)

// storePlay is a deployment whose store is busy all the time: requests for 80 models that no runner has come
// one after the other.
func storePlay(fits int, loadTime time.Duration) playSpec {
	s := playSpec{runners: 20, models: 120, room: 2, slots: 16, carry: 8, residence: time.Second, storeFits: fits, storeTime: loadTime}
	s.placed = func(r int) []int { return []int{r, 20 + r} }
	s.patience = func(int) time.Duration { return 20 * time.Second }
	s.rate = func(m int, _ Time) float64 {
		if m >= 40 {
			return 0.1
		}
		return 0
	}
	return s
}

// Loads beyond those that the store serves at full speed all end late: four at once of a store that serves one
// in 13.2 s end after 53 s, when the busy time is over.
func TestStore_ServesOneToSixAtFullSpeed(t *testing.T) {
	for _, c := range []struct {
		fits     int
		loadTime time.Duration
		most     int // loads at once, with the trial that finds the number
		settled  int // loads at once at the end, at least
	}{
		{1, 13200 * time.Millisecond, 2, 1},
		{2, 11700 * time.Millisecond, 3, 2},
		{2, 10500 * time.Millisecond, 3, 2},
		{3, 6 * time.Second, 4, 3},
		{4, 7800 * time.Millisecond, 5, 4},
		{6, 7800 * time.Millisecond, 7, 6},
		{6, 6 * time.Second, 7, 6},
	} {
		t.Run(fmt.Sprintf("%d in %v", c.fits, c.loadTime), func(t *testing.T) {
			p := newPlay(t, storePlay(c.fits, c.loadTime))
			most, atEnd := 0, 0
			for p.now < playTraffic+34*time.Second {
				p.run(p.now + 100*time.Millisecond)
				most = max(most, p.storeBusy)
				if p.now > playTraffic+30*time.Second {
					atEnd = max(atEnd, p.storeBusy)
				}
			}
			l := p.core.store(llm)
			t.Logf("most %d, at the end %d, proven %d, ceiling %d", most, atEnd, l.proven, l.ceiling)
			if most > c.most {
				t.Errorf("%d loads at once of a store that serves %d", most, c.fits)
			}
			if atEnd < c.settled {
				t.Errorf("at most %d loads at once at the end, the store serves %d", atEnd, c.fits)
			}
		})
	}
}

// A deployment has 14 s before the first request, two loads' time where a load takes 6 s. The number must be known
// by then, or the store is half idle when it is needed most.
func TestStore_KnownBeforeTraffic(t *testing.T) {
	for _, c := range []struct {
		fits     int
		loadTime time.Duration
	}{{1, 13200 * time.Millisecond}, {2, 11700 * time.Millisecond}, {3, 6 * time.Second}, {4, 6 * time.Second}, {4, 7800 * time.Millisecond}} {
		p := newPlay(t, storePlay(c.fits, c.loadTime))
		p.run(playTraffic)
		l := p.core.store(llm)
		if got := l.limit(p.core.now, c.loadTime); got < c.fits || got > c.fits+1 {
			t.Errorf("%d loads at once may be in progress when traffic begins, the store serves %d", got, c.fits)
		}
	}
}

// A new coordinator sees loads that its predecessor ordered. They are late or early by what it can't know, and
// must neither teach it nor be forgotten: the store is shared with them.
func TestStore_TakeoverInTheMiddle(t *testing.T) {
	for _, c := range []struct {
		fits     int
		loadTime time.Duration
		most     int
	}{{1, 13200 * time.Millisecond, 2}, {2, 11700 * time.Millisecond, 3}, {4, 7800 * time.Millisecond, 5}} {
		p := newPlay(t, storePlay(c.fits, c.loadTime))
		p.run(playTraffic + 12*time.Second)
		p.startTerm()
		most := 0
		for p.now < playTraffic+12*time.Second+2*c.loadTime+3*time.Second {
			p.run(p.now + 100*time.Millisecond)
			most = max(most, p.storeBusy)
		}
		l := p.core.store(llm)
		t.Logf("most %d, proven %d, ceiling %d", most, l.proven, l.ceiling)
		if got := l.settled(c.loadTime); got > c.fits {
			t.Errorf("%d loads at once are taken for full speed, the store serves %d", got, c.fits)
		}
		if got := l.limit(p.core.now, c.loadTime); got < c.fits {
			t.Errorf("%d loads at once may be in progress two loads after a takeover, the store serves %d", got, c.fits)
		}
		if most > c.most {
			t.Errorf("%d loads at once after a takeover, the store serves %d", most, c.fits)
		}
	}
}

// A load that is stuck must not make the store look slow for the other runners.
func TestStore_StuckLoad(t *testing.T) {
	l := &storeLearner{}
	loads := []*storeLoad{}
	now := Time(0)
	for range 4 {
		loads = append(loads, l.begin(0, 6*time.Second))
	}
	for _, done := range loads[1:] {
		l.complete(6300*time.Millisecond, done)
	}
	for now = 6 * time.Second; now < 30*time.Second; now += 400 * time.Millisecond {
		l.busy(now, now-reportLag, loads[0])
	}
	if got := l.settled(6 * time.Second); got != 4 {
		t.Errorf("%d loads at once after one that is stuck, 4 were seen to fit", got)
	}
}

// A prefetch holds the only place of the store when a request for a missing model comes. Its load must not wait for the
// prefetch's end.
func TestPrefetch_RequestDuringPrefetch(t *testing.T) {
	is := is.New(t)
	set := testSettings()
	set.Prefetch, set.StoreConcurrency = true, 1
	c := coreWithRunner(set, "r1", "m1")
	c.Step(0, HeartbeatReceived{heartbeat("r2", 1, "m2")})
	c.Step(0, Tick{})
	c.Step(0, ReportReceived{Upstream: "r2", BornUnixMs: 1000, Report: runnerReport("m2")})
	sends := actionsOf[SendOrder](c.Step(2*time.Second, Tick{}))
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Order.Model, "m3")
	c.Step(2*time.Second, OrderAnswered{Upstream: sends[0].Upstream, BornUnixMs: 1000, Result: OrderAccepted})
	is.Equal(len(actionsOf[SendOrder](c.Step(3*time.Second, Tick{}))), 0) // no second prefetch
	sends = actionsOf[SendOrder](c.Step(4*time.Second, demandReport("m5", "", 1)))
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Order.Model, "m5")
	c.Step(4*time.Second, OrderAnswered{Upstream: sends[0].Upstream, BornUnixMs: 1000, Result: OrderAccepted})
	is.Equal(len(actionsOf[SendOrder](c.Step(5*time.Second, demandReport("m6", "", 1)))), 0) // the store is shared already
}

// Before traffic the store has time for few long loads. They are worth most for models that are placed on
// many runners, and one that begins late holds the store when the first requests come.
func TestPrefetch_CopiesOfModelsOnManyRunners(t *testing.T) {
	s := largePlay()
	s.rate = crestRates
	p := newPlay(t, s)
	p.run(playTraffic)
	if len(p.loads) != s.storeFits {
		t.Errorf("%d loads before traffic, the store has time for %d", len(p.loads), s.storeFits)
	}
	for _, l := range p.loads {
		if l.model >= playModel(firstRare) || l.at > prefetchFresh {
			t.Errorf("%s is loaded at %v", l.model, l.at)
		}
	}
}

// A runner that stays busy for ever must not keep all later loads in memory: each report of a load is compared with
// all of them.
func TestStore_LoadsBesideAStuckOne(t *testing.T) {
	l := &storeLearner{}
	l.beginUncertain(0)
	for i := range 500 {
		now := Time(i) * 10 * time.Second
		load := l.begin(now, 6*time.Second)
		l.complete(now+6100*time.Millisecond, load)
	}
	if got := len(l.loads); got > 2 {
		t.Errorf("%d loads are remembered beside one that is stuck", got)
	}
}

// startsOf has models waited for at runners that are full, answers all orders at once, and returns when loads from the
// store began.
func startsOf(c *Core, runners int, until Time) []Time {
	var starts []Time
	seq := uint64(1)
	for now := Time(0); now < until; now += 100 * time.Millisecond {
		acts := slices.Clone(c.Step(now, Tick{}))
		for _, m := range []string{"m3", "m4", "m5", "m6"} {
			acts = append(acts, slices.Clone(c.Step(now, demandReport(m, "", 1)))...)
		}
		for len(acts) > 0 {
			a := acts[0]
			acts = acts[1:]
			o, ok := a.(SendOrder)
			if !ok {
				continue
			}
			acts = append(acts, slices.Clone(c.Step(now, OrderAnswered{Upstream: o.Upstream, BornUnixMs: 1000, Result: OrderAccepted}))...)
			if !o.Order.Unload {
				starts = append(starts, now)
			}
		}
		if now == 200*time.Millisecond { // all unloads have ended
			seq++
			for i := range runners {
				acts := slices.Clone(c.Step(now, HeartbeatReceived{heartbeat(fmt.Sprintf("r%d", i), seq)}))
				for _, o := range actionsOf[SendOrder](acts) {
					if !o.Order.Unload {
						starts = append(starts, now)
					}
				}
			}
		}
	}
	return starts
}

// Loads for which room is made begin later, together. They must stay within the store's rate as those that begin at
// once do.
func TestStore_RateOfLoadsThatWaitForRoom(t *testing.T) {
	set := testSettings()
	config := testConfig()
	config.Services[0].Engine.StoreLoadsPerSecond = 0.2
	config.Services[0].Engine.WeightMemoryMB = 110
	c := New(set)
	c.Step(0, RoutingChanged{config})
	for i := range 4 {
		id := fmt.Sprintf("r%d", i)
		c.Step(0, HeartbeatReceived{heartbeat(id, 1, "m1")})
		c.Step(0, Tick{})
		c.Step(0, ReportReceived{Upstream: id, BornUnixMs: 1000, Report: runnerReport("m1")})
	}
	starts := startsOf(c, 4, 4*time.Second)
	if len(starts) != 1 {
		t.Errorf("loads from the store began at %v, one in 5 s is the rate", starts)
	}
}

// At a rate of less than one load in a window, models must be loaded at that pace and not never.
func TestStore_RateBelowOneInAWindow(t *testing.T) {
	config := testConfig()
	config.Services[0].Engine.StoreLoadsPerSecond = 0.1
	c := New(testSettings())
	c.Step(0, RoutingChanged{config})
	c.Step(0, HeartbeatReceived{heartbeat("r0", 1)})
	c.Step(0, Tick{})
	c.Step(0, ReportReceived{Upstream: "r0", BornUnixMs: 1000, Report: runnerReport()})
	if starts := startsOf(c, 0, time.Second); len(starts) != 1 {
		t.Errorf("loads from the store began at %v, one was expected", starts)
	}
}

// A new coordinator does not know how many loads its predecessor began in the last seconds, so that both together
// could exceed the store's rate.
func TestStore_RateAtTakeover(t *testing.T) {
	config := testConfig()
	e := config.Services[0].Engine
	e.StoreLoadsPerSecond = 3
	e.Models = nil
	for i := range 20 {
		e.Models = append(e.Models, routing.Model{Name: fmt.Sprint("n", i), WeightsMB: 100, StoreLoadTime: 500 * time.Millisecond,
			DiskLoadTime: 400 * time.Millisecond, MemoryLoadTime: 300 * time.Millisecond})
	}
	c := New(testSettings())
	c.Step(0, RoutingChanged{config})
	for i := range 20 {
		id := fmt.Sprint("r", i)
		c.Step(0, HeartbeatReceived{heartbeat(id, 1)})
		c.Step(0, Tick{})
		rep := runnerReport()
		rep.Sequence = 1
		c.Step(0, ReportReceived{Upstream: id, BornUnixMs: 1000, Report: rep})
	}
	started, seq := 0, uint64(1)
	for now := Time(0); now < 4900*time.Millisecond; now += 100 * time.Millisecond {
		var acts []Action
		for i := range 20 {
			acts = append(acts, slices.Clone(c.Step(now, demandReport(fmt.Sprint("n", i), "", 1)))...)
		}
		for len(acts) > 0 {
			o, ok := acts[0].(SendOrder)
			acts = acts[1:]
			if !ok {
				continue
			}
			started++
			seq++
			acts = append(acts, slices.Clone(c.Step(now, OrderAnswered{Upstream: o.Upstream, BornUnixMs: 1000, Result: OrderAccepted}))...)
			acts = append(acts, slices.Clone(c.Step(now, HeartbeatReceived{heartbeat(o.Upstream, seq, o.Order.Model)}))...)
		}
	}
	if started < 1 || started > 4 { // 15 of the predecessor and these are at most 15 * 1.1 + 3
		t.Errorf("%d loads from the store began in the first seconds after a takeover", started)
	}
}
