package coordinator

import (
	"context"

	"gentiankeel/internal/fleet"
	"gentiankeel/internal/wire"
)

// restoreSoftware passes the record of the versions of software to the core.
func (t *term) restoreSoftware() {
	control := t.server.o.Control
	rec := control.Software()
	// A log without a record but with a configuration may be one of a build that keeps none. Without a configuration, no
	// request was ever served.
	complete := rec.GetComplete() || rec == nil && control.Routing() == nil
	t.log.Info("Software restored.", "versions", len(rec.GetVersions()), "complete", complete, "recorded_by", rec.GetToken())
	t.step(fleet.SoftwareRestored{Versions: rec.GetVersions(), Complete: complete, Recorded: rec != nil})
	t.restoreOrigins()
}

// recordSoftware commits the versions of software and passes the result to the core.
func (t *term) recordSoftware(rec *wire.SoftwareRecord) {
	rec.Token = t.token
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		defer cancel()
		res, err := t.server.o.Control.RecordSoftware(ctx, rec)
		failed := err != nil || res.Code != wire.ResultCode_RESULT_OK
		if failed {
			t.log.Warn("The software could not be recorded.", "versions", len(rec.Versions), "detail", res.GetDetail(), "error", errText(err))
		} else {
			t.log.Info("Software recorded.", "versions", len(rec.Versions), "complete", rec.Complete, "index", res.Index)
		}
		t.submitResult(fleet.SoftwareRecorded{Record: rec, Failed: failed})
	})
}

// knownMs returns for how long the core knows all versions of software, in milliseconds.
func knownMs(core *fleet.Core) uint32 { return uint32(core.AllSoftwareKnown().Milliseconds()) }
