package state

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

func softwareCommand(token uint64, versions ...*wire.ServiceSoftware) *wire.Command {
	return &wire.Command{Op: &wire.Command_RecordSoftware{RecordSoftware: &wire.RecordSoftware{
		Record: &wire.SoftwareRecord{Token: token, Versions: versions, Complete: true}}}}
}

func TestRecordSoftware_OfTheLatestCoordinator(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	is.Equal(h.m.Software(), (*wire.SoftwareRecord)(nil))
	is.Equal(h.applyChecked(softwareCommand(2, &wire.ServiceSoftware{Service: "s", Version: "v1"})).Code, wire.ResultCode_RESULT_OK)
	is.Equal(h.applyChecked(softwareCommand(1, &wire.ServiceSoftware{Service: "s", Version: "v0"})).Code, wire.ResultCode_RESULT_INVALID) // committed late
	is.Equal(h.m.Software().Versions[0].Version, "v1")
	is.Equal(h.applyChecked(softwareCommand(2, &wire.ServiceSoftware{Service: "s"})).Code, wire.ResultCode_RESULT_OK) // upstreams that name no version
	is.Equal(h.m.Software().Versions[0].Version, "")
	is.Equal(h.applyChecked(softwareCommand(0)).Code, wire.ResultCode_RESULT_INVALID)
	is.Equal(h.applyChecked(softwareCommand(3, &wire.ServiceSoftware{Version: "v1"})).Code, wire.ResultCode_RESULT_INVALID)
	is.Equal(h.applyChecked(softwareCommand(3, &wire.ServiceSoftware{Service: "s", Version: "\xff"})).Code, wire.ResultCode_RESULT_INVALID)
	is.Equal(h.applyChecked(softwareCommand(3, &wire.ServiceSoftware{Service: "s", Version: strings.Repeat("v", maxNameBytes+1)})).Code, wire.ResultCode_RESULT_INVALID)
	is.Equal(h.applyChecked(softwareCommand(3, make([]*wire.ServiceSoftware, maxSoftwareVersions+1)...)).Code, wire.ResultCode_RESULT_INVALID)
}

// Guards against a replica that restarts from a snapshot and no longer knows which versions ran.
func TestRecordSoftware_Snapshot(t *testing.T) {
	is := is.New(t)
	m := New(Options{})
	m.Apply(1, softwareCommand(7, &wire.ServiceSoftware{Service: "s", Version: "v1", EndedMs: 400}))
	data, err := m.Snapshot()
	is.NoErr(err)
	restored := New(Options{})
	is.NoErr(restored.Restore(1, data))
	is.Equal(restored.Software().Token, uint64(7))
	is.True(restored.Software().Complete)
	is.Equal(restored.Software().Versions[0].EndedMs, uint32(400))
}
