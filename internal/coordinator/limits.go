package coordinator

import (
	"strconv"
	"time"

	"gentiankeel/internal/fleet"
	"gentiankeel/internal/wire"
)

// grantPermits tells an entry about its permits for limited upstreams.
func (t *term) grantPermits(a fleet.GrantPermits) {
	es := t.entries[a.Entry]
	if es == nil {
		return
	}
	up := &wire.FleetUpdate{Term: t.token, SentMs: uint32(t.now().Milliseconds())}
	for _, g := range a.Grants {
		up.Permits = append(up.Permits, &wire.PermitGrant{Upstream: g.Upstream, BornUnixMs: g.BornUnixMs, Granted: g.Granted,
			Backlog: g.Backlog, Claimants: g.Claimants, Organisation: g.Organisation, WaitMs: roundUpMs(g.Wait), IntervalMs: roundUpMs(g.Interval)})
	}
	t.enqueue(es, up)
}

// roundUpMs returns a duration in milliseconds, rounded up, so that one that is not 0 stays so.
func roundUpMs(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1).Milliseconds())
}

// reportThrottle logs that an organisation is throttled, or is no longer.
func (t *term) reportThrottle(a fleet.ReportThrottle) {
	t.server.m.throttled.Set(float64(a.Throttled))
	if a.On {
		t.log.Info("Organisation is throttled.", "organisation", a.Organisation, "per_second", a.Quota.PerSecond, "burst", a.Quota.Burst)
		return
	}
	t.log.Info("Organisation is no longer throttled.", "organisation", a.Organisation, "throttled_for", a.For)
}

// checkSilence tells the core which entries are silent while their streams go on, and takes them out of the
// relays. A coordinator that was held up itself can't tell, and begins to wait anew; nor can one without
// quotas, since idle entries report regularly only if there are some.
func (t *term) checkSilence() {
	now := time.Now()
	held := now.Sub(t.silenceChecked) > maxTickDelay
	t.silenceChecked = now
	if held || !t.core.HasQuotas() {
		t.listensSince = now
	}
	if !t.core.HasQuotas() {
		for entry := range t.entries {
			t.relays.setSilent(entry, false)
		}
		return
	}
	for _, es := range t.entries {
		heard := es.heard()
		if heard.Before(t.listensSince) {
			heard = t.listensSince
		}
		silent := now.Sub(heard) > entrySilence
		t.relays.setSilent(es.entry, silent)
		if silent != es.silent {
			es.silent = silent
			t.log.Info("Entry silent.", "entry", es.entry, "silent", silent)
			t.step(fleet.EntrySilent{Entry: es.entry, Silent: silent})
		}
	}
}

// limitText returns a limit in requests a second for logs; empty: there is none.
func limitText(l *wire.RateLimit) string {
	if l == nil {
		return ""
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
}
