package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

func quotaConfig(perSecond float64) *routing.Config {
	config := testConfig()
	config.Organisations = []routing.Organisation{{Name: "o", Quota: routing.Quota{PerSecond: perSecond, Burst: 100}}, {Name: "free"}}
	return config
}

func unitReport(entry string, d *wire.PermitDemand) EntryReport {
	d.Organisation = "o"
	return EntryReport{Entry: entry, Permits: []*wire.PermitDemand{d}}
}

// An entry has to hear of its units in the step of its report, also that there are none.
func TestQuota_AnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, RoutingChanged{quotaConfig(100)})
	is.True(c.HasQuotas())
	acts := c.Step(2*time.Second, unitReport("e1", &wire.PermitDemand{Wanted: 80, Urgent: 80, First: 80}))
	is.Equal(actionsOf[GrantPermits](acts), []GrantPermits{{"e1", []ratelimit.Grant{{Organisation: "o", Granted: 80}}}})
	c.Step(2*time.Second, unitReport("e1", &wire.PermitDemand{Wanted: 80, Urgent: 80, Known: 80})) // they are used
	acts = c.Step(2*time.Second, unitReport("e2", &wire.PermitDemand{Wanted: 80, Urgent: 80, First: 80}))
	grants := actionsOf[GrantPermits](acts)[0].Grants
	is.Equal(grants[0].Granted, uint64(0))
	is.Equal(grants[0].Wait, 600*time.Millisecond)
	acts = c.Step(2*time.Second, Tick{})
	is.True(actionsOf[ReportThrottle](acts)[0].On)
	is.Equal(len(actionsOf[GrantPermits](c.Step(2500*time.Millisecond, Tick{}))), 0)
	is.Equal(actionsOf[GrantPermits](c.Step(2700*time.Millisecond, Tick{}))[0].Entry, "e2")
}

func TestQuota_EntriesOutOfContactAreCharged(t *testing.T) {
	for name, end := range map[string]func(string) Event{
		"gone":   func(e string) Event { return EntryGone{e} },
		"silent": func(e string) Event { return EntrySilent{Entry: e, Silent: true} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New(testSettings())
			c.Step(0, RoutingChanged{quotaConfig(100)})
			c.Step(0, EntrySnapshot{Entry: "e1"})
			c.Step(0, EntrySnapshot{Entry: "e2"})
			c.Step(2*time.Second, unitReport("e1", &wire.PermitDemand{Wanted: 40, Urgent: 40, First: 40}))
			c.Step(2*time.Second, end("e1"))
			ask := &wire.PermitDemand{Wanted: 30, Urgent: 30, First: 30}
			acts := c.Step(2*time.Second, unitReport("e2", ask))
			is.Equal(actionsOf[GrantPermits](acts)[0].Grants[0].Granted, uint64(0))
			if name == "silent" {
				c.Step(2*time.Second, EntrySilent{Entry: "e1"})
			} else {
				c.Step(2*time.Second, EntrySnapshot{Entry: "e1", OfflineUse: []*wire.OfflineUse{{Organisation: "o", Units: 10}}})
			}
			acts = c.Step(2*time.Second, Tick{})
			is.Equal(actionsOf[GrantPermits](acts)[0].Grants[0].Granted, uint64(30))
		})
	}
}

// Demand for an upstream and for an organisation in one report is answered for both.
func TestQuota_BesideLimitsOfUpstreams(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, RoutingChanged{quotaConfig(100)})
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	c.Step(0, EntryReport{Entry: "e1", Limits: []*wire.LimitStatement{limitStatement("r1", 1)}})
	acts := c.Step(2500*time.Millisecond, EntryReport{Entry: "e1", Permits: []*wire.PermitDemand{
		{Upstream: "r1", BornUnixMs: 1000, Wanted: 1, Urgent: 1}, {Organisation: "o", Wanted: 5, Urgent: 5, First: 5}}})
	granted := map[string]uint64{}
	for _, a := range actionsOf[GrantPermits](acts) {
		for _, g := range a.Grants {
			granted[g.Upstream+g.Organisation] += g.Granted
		}
	}
	is.Equal(granted, map[string]uint64{"r1": 1, "o": 5})
}
