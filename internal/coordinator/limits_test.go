package coordinator

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/fleet"
	"gentiankeel/internal/wire"
)

// An entry that asks for units gets an answer, also while there are none.
func TestQuota_UnitsOverTheWire(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	eventually(t, "the configuration is acknowledged", func() bool {
		out, err := nodes[0].server.API().PutRouting(context.Background(), 7, []byte("version 7 quota"))
		return err == nil && (out == wire.ApplyOutcome_APPLY_ACCEPTED || out == wire.ApplyOutcome_APPLY_SAME)
	})
	demand := &wire.PermitDemand{Organisation: "o", Wanted: 1030, Urgent: 1030, First: 30}
	answered := false
	eventually(t, "units are granted", func() bool {
		s, _ := attachActing(t, nodes, &wire.EntryReport{Entry: "e1", Changed: true, Permits: []*wire.PermitDemand{demand}, Entries: 1})
		// A coordinator that has just begun grants nothing for some seconds, and nothing to an entry that falls silent meanwhile.
		go reportRegularly(s)
		for {
			up, err := s.Recv()
			if err != nil {
				return false // another node may take over at any time on a busy machine
			}
			for _, g := range up.Permits {
				is.Equal(g.Organisation, "o")
				is.True(g.WaitMs > 0 && g.IntervalMs > 0) // for the requests that get none
				answered = answered || g.Granted == 0
				if g.Granted > 0 {
					is.Equal(g.Granted, uint64(30))
					return true
				}
			}
		}
	})
	is.True(answered)
}

// reportRegularly sends reports without news until the stream ends.
func reportRegularly(s ctlclient.AttachStream) {
	for s.Send(&wire.EntryReport{Entry: "e1"}) == nil {
		time.Sleep(entrySilence / 3)
	}
}

// A stream can outlast the contact by seconds, in which the entry uses a part of its quotas uncounted. A
// coordinator that was held up has not heard of anyone and must not take all for lost.
func TestCheckSilence_EntryWithoutReports(t *testing.T) {
	is := is.New(t)
	m, err := newMetrics(prometheus.NewRegistry())
	is.NoErr(err)
	term := newTerm(&Server{o: Options{FleetSettings: fleet.DefaultSettings()}, log: slog.New(slog.DiscardHandler), m: m}, 1)
	es := &entryStream{entry: "e1"}
	term.entries["e1"] = es
	es.lastHeard.Store(time.Now().Add(-time.Hour).UnixNano())
	check := func(held time.Duration) bool {
		term.silenceChecked = time.Now().Add(-held)
		term.checkSilence()
		return es.silent
	}
	is.True(!check(0)) // no organisation has a limit
	config, err := decode([]byte("version 1 quota"))
	is.NoErr(err)
	term.step(fleet.RoutingChanged{Config: config})
	is.True(!check(time.Hour))
	is.True(!check(0)) // it has had no time to be heard since
	term.listensSince = time.Time{}
	is.True(check(0))
	es.recordReport()
	is.True(!check(0))
}
