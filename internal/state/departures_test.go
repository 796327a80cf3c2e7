package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

func (h *harness) recordDeparture(upstream string, born int64, gone bool) *wire.Result {
	return h.applyChecked(&wire.Command{Op: &wire.Command_RecordDeparture{RecordDeparture: &wire.RecordDeparture{
		Departure: &wire.Departure{Upstream: upstream, BornUnixMs: born, Gone: gone}}}})
}

func TestDeparture_NeverTakenBack(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	h.recordDeparture("u1", 5, false)
	is.True(!h.m.Departure("u1", 5).Gone)
	h.recordDeparture("u1", 5, true)
	h.recordDeparture("u1", 5, false) // late
	is.True(h.m.Departure("u1", 5).Gone)
	is.Equal(h.m.Departure("u1", 5).Index, uint64(2))
	h.recordDeparture("u1", 6, false) // another incarnation
	is.True(!h.m.Departure("u1", 6).Gone && h.m.Departure("u1", 5).Gone)
	is.Equal(h.m.Departure("u1", 4), nil)
	is.Equal(h.recordDeparture("", 1, true).Code, wire.ResultCode_RESULT_INVALID)
	is.Equal(h.recordDeparture("u2", 0, true).Code, wire.ResultCode_RESULT_INVALID)
	is.NoErr(h.err)
}

func TestDepartures_SnapshotAndBound(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	h.m.opts.Departures = 3
	for i := range 5 {
		h.recordDeparture(fmt.Sprint("u", i), 1, true)
	}
	h.recordDeparture("u3", 1, true) // a repetition keeps its place
	data, err := h.m.Snapshot()
	is.NoErr(err)
	restored := New(Options{Departures: 3})
	is.NoErr(restored.Restore(h.m.Index(), data))
	var ids []string
	for _, d := range restored.Departures() {
		ids = append(ids, d.Upstream)
	}
	is.Equal(ids, []string{"u2", "u3", "u4"})
}
