package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
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
