package state

import (
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

func originsCommand(token uint64, software string, keys ...uint64) *wire.Command {
	l := &wire.OriginList{}
	for _, key := range keys {
		l.Add(key, software)
	}
	return &wire.Command{Op: &wire.Command_RecordOrigins{RecordOrigins: &wire.RecordOrigins{Token: token, Origins: l}}}
}

func originsOf(m *Machine) map[uint64]string {
	out := map[uint64]string{}
	m.Origins().Each(func(key uint64, software string) { out[key] = software })
	return out
}

func TestRecordOrigins_WhileSeveralVersionsAreRecorded(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	one, two := &wire.ServiceSoftware{Service: "s", Version: "v1"}, &wire.ServiceSoftware{Service: "s", Version: "v2"}
	other := &wire.ServiceSoftware{Service: "t", Version: "v2"}
	h.applyChecked(softwareCommand(2, one, other))
	is.Equal(h.applyChecked(originsCommand(2, "v1", 1)).Code, wire.ResultCode_RESULT_INVALID) // the versions tell it
	h.applyChecked(softwareCommand(2, one, two, other))
	is.Equal(h.applyChecked(originsCommand(1, "v1", 1)).Code, wire.ResultCode_RESULT_INVALID) // of an earlier coordinator
	is.Equal(h.applyChecked(originsCommand(2, "v1", 1, 2)).Code, wire.ResultCode_RESULT_OK)
	is.Equal(h.applyChecked(originsCommand(2, "v2", 2, 3)).Code, wire.ResultCode_RESULT_OK)
	is.Equal(originsOf(h.m), map[uint64]string{1: "v1", 2: streamorigin.Several, 3: "v2"})
	is.Equal(h.applyChecked(originsCommand(2, "\xff", 4)).Code, wire.ResultCode_RESULT_INVALID)
	h.applyChecked(softwareCommand(2, two, other))
	is.Equal(len(originsOf(h.m)), 0)
}

func TestRecordOrigins_Bounded(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	h.applyChecked(softwareCommand(1, &wire.ServiceSoftware{Service: "s", Version: "v1"}, &wire.ServiceSoftware{Service: "s", Version: "v2"}))
	keys := make([]uint64, maxRecordedOrigins)
	for i := range keys {
		keys[i] = uint64(i)
	}
	h.applyChecked(originsCommand(1, "v1", keys...))
	h.applyChecked(originsCommand(1, "v2", maxRecordedOrigins))
	recorded := originsOf(h.m)
	is.Equal(len(recorded), maxRecordedOrigins)
	_, ok := recorded[0]
	is.True(!ok) // the oldest
	is.Equal(recorded[maxRecordedOrigins], "v2")
}

// Guards against a replica that restarts from a snapshot and no longer knows which versions began streams.
func TestRecordOrigins_Snapshot(t *testing.T) {
	is := is.New(t)
	m := New(Options{})
	m.Apply(1, softwareCommand(1, &wire.ServiceSoftware{Service: "s", Version: "v1"}, &wire.ServiceSoftware{Service: "s", Version: "v2"}))
	m.Apply(2, originsCommand(1, "v1", 7, 5))
	data, err := m.Snapshot()
	is.NoErr(err)
	restored := New(Options{})
	is.NoErr(restored.Restore(2, data))
	is.Equal(restored.Origins().Keys, []uint64{7, 5})
	is.Equal(originsOf(restored), map[uint64]string{7: "v1", 5: "v1"})
}
