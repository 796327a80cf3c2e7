package gateway

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/wire"
)

// A gap that the entry or its caller caused must not count against the runner.
func TestRecordEvent_GapsThatTellNothing(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		change func(s *Server, sl *slot, now time.Duration)
		want   int
	}{
		{"of the runner", func(*Server, *slot, time.Duration) {}, 1},
		{"the caller's connection was blocked", func(_ *Server, sl *slot, now time.Duration) { sl.readAgainAt = now - 10*ms }, 0},
		{"the entry was suspended", func(s *Server, _ *slot, now time.Duration) { s.resumedAt = now - 10*ms }, 0},
		{"the entry is just being resumed", func(s *Server, _ *slot, now time.Duration) { s.lastTick = now - time.Second }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			client := ctlclient.New(ctlclient.Options{Addresses: []string{"127.0.0.1:1"}, Logger: slog.New(slog.DiscardHandler)})
			s, err := New(Options{InstanceID: "e/1", Dialect: testDialect{}, ControlClient: client, DispatchSettings: dispatch.DefaultSettings()})
			is.NoErr(err)
			config, err := testDialect{}.DecodeConfig([]byte("doc"))
			is.NoErr(err)
			s.core.SetConfig(0, config)
			s.core.Apply(0, &wire.FleetUpdate{Term: 1, Snapshot: true, Upstreams: []*wire.UpstreamState{{Id: "r1", BornUnixMs: 1, Service: "llm",
				Slots: 8, Number: 1, Phase: wire.UpstreamPhase_PHASE_READY, Models: []*wire.HeldModel{{Name: "m"}}}}})
			s.started = time.Now().Add(-time.Minute)
			d := <-s.requestSlot(dispatch.SlotRequest{ID: 1, Service: "llm", Model: "m", Streams: true, Deadline: 2 * time.Minute})
			is.True(d.Target != nil)
			now := s.now()
			s.lastTick = now + time.Hour // the test itself may be suspended
			sl := &slot{slotRequestID: 1, target: d.Target, lastOutputAt: now}
			s.recordEvent(sl, 0)
			previous := now - 40*ms
			sl.readAgainAt = previous + ms
			tt.change(s, sl, now)
			s.recordEvent(sl, previous)
			gaps := 0
			for _, p := range s.takePaces() {
				gaps += int(p.Gaps)
			}
			is.Equal(gaps, tt.want)
		})
	}
}

// The caller's hint is used as far as its own bound allows.
func TestExpectedOutput_Hint(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		hint, bound, want int
		hinted            bool
	}{{0, 100, 60, false}, {30, 100, 30, true}, {5000, 100, 100, true}, {30, 0, 30, true}} {
		tokens, hinted := expectedOutput(&RequestInfo{OutputHint: tt.hint, MaxOutputTokens: tt.bound})
		is.Equal(tokens, tt.want)
		is.Equal(hinted, tt.hinted)
	}
}

// The time to the first event must not be learned from a request that was in progress while the entry was suspended,
// be it noticed by the tick loop or not yet.
func TestRecordEvent_FirstEventAfterSuspension(t *testing.T) {
	is := is.New(t)
	client := ctlclient.New(ctlclient.Options{Addresses: []string{"127.0.0.1:1"}, Logger: slog.New(slog.DiscardHandler)})
	s, err := New(Options{InstanceID: "e/1", Dialect: testDialect{}, ControlClient: client, DispatchSettings: dispatch.DefaultSettings()})
	is.NoErr(err)
	config, err := testDialect{}.DecodeConfig([]byte("doc"))
	is.NoErr(err)
	s.core.SetConfig(0, config)
	s.core.Apply(0, &wire.FleetUpdate{Term: 1, Snapshot: true, Upstreams: []*wire.UpstreamState{{Id: "r1", BornUnixMs: 1, Service: "llm",
		Slots: 8, Number: 1, Phase: wire.UpstreamPhase_PHASE_READY, Models: []*wire.HeldModel{{Name: "m"}}}}})
	s.started = time.Now().Add(-time.Minute)
	var first time.Duration
	for id := uint64(1); id <= 10; id++ {
		d := <-s.requestSlot(dispatch.SlotRequest{ID: id, Service: "llm", Model: "m", Streams: true, PromptTokens: 1000, Deadline: time.Hour})
		is.True(d.Target != nil)
		if first == 0 {
			first = d.Target.ExpectedRun
		}
		is.Equal(d.Target.ExpectedRun, first)
		s.started = s.started.Add(-10 * time.Second) // nothing happens for 10 s
		s.lastTick = s.now() - 10*time.Second
		s.recordEvent(&slot{slotRequestID: id, target: d.Target, lastOutputAt: s.now()}, 0)
		s.releaseSlot(id, dispatch.Cancelled)
	}
}
