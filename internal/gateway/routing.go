package gateway

import (
	"github.com/pkg/errors"

	"gentiankeel/internal/docdelta"
	"gentiankeel/internal/httpserver"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// receiveRouting activates a configuration that the coordinator sent as a delta to the
// version base, or as a full document if base is 0. A configuration that is not newer is
// ignored. After an error no version counts as held, so that the next attach report
// requests the full document.
func (s *Server) receiveRouting(rec *wire.RoutingRecord, base uint64) error {
	if rec == nil || rec.Version <= s.heldRouting.GetVersion() {
		return nil
	}
	document, err := s.fullDocument(rec, base)
	if err != nil {
		s.heldRouting = nil
		return errors.Wrapf(err, "configuration %d", rec.Version)
	}
	s.heldRouting = rec.WithDocument(document)
	s.activateRouting(s.heldRouting)
	return nil
}

// fullDocument decodes the document of rec. The check of its digest detects a base that
// differs from the coordinator's.
func (s *Server) fullDocument(rec *wire.RoutingRecord, base uint64) ([]byte, error) {
	var baseDocument []byte
	if base != 0 {
		if s.heldRouting.GetVersion() != base {
			return nil, errors.Errorf("delta to version %d, but version %d is held", base, s.heldRouting.GetVersion())
		}
		baseDocument = s.heldRouting.Document
	}
	fullDocument, err := docdelta.Decode(baseDocument, rec.Document)
	if err != nil {
		return nil, err
	}
	if spec.Digest(fullDocument) != rec.Digest {
		return nil, errors.New("the document does not match its digest")
	}
	return fullDocument, nil
}

// configAttrs returns the log attributes that tell which configuration is in force, for how
// long, and how long ago a coordinator was last heard. Only followCoordinator may call it.
func (s *Server) configAttrs() []any {
	attrs := []any{"coordinator_age", s.coordinatorAge()}
	if t := s.table.Load(); t != nil {
		attrs = append(attrs, "version", t.Config.Version, "in_force_for", s.now()-s.inForceSince)
	}
	return attrs
}

// activateRouting puts a configuration in force if it is newer than the current one.
func (s *Server) activateRouting(rec *wire.RoutingRecord) {
	var replaced uint64 // 0: none
	if cur := s.table.Load(); cur != nil {
		replaced = cur.Config.Version
	}
	if rec.Version <= replaced {
		return
	}
	config, err := s.o.Dialect.DecodeConfig(rec.Document)
	if err != nil {
		s.log.Error("The routing configuration can't be decoded.", "version", rec.Version, "error", err)
		return
	}
	s.table.Store(routing.NewTable(config))
	s.server.SetLimits(callerLimits(config.Limits))
	s.inForceSince = s.now()
	s.mu.Lock()
	close(s.tableChanged)
	s.tableChanged = make(chan struct{})
	s.deliver(s.core.SetConfig(s.now(), config))
	quotas := config.Quotas()
	s.hasQuotas.Store(len(quotas) > 0)
	s.deliverUnits(s.gate.SetQuotas(s.now(), quotas))
	s.mu.Unlock()
	s.m.version.Set(float64(rec.Version))
	attrs := []any{"version", rec.Version, "digest", rec.Digest, "index", rec.Index,
		"routes", len(config.Routes), "replaces", replaced, "coordinator_age", s.coordinatorAge()}
	if config.RequiresKey {
		attrs = append(attrs, "organisations", len(config.Organisations))
	}
	s.log.Info("Configuration is in force.", attrs...)
}

// headerTimeoutSlack is the inverse of the share of the header's timeout that is added to it: a header
// that came within it may be read a little later.
const headerTimeoutSlack = 4

// callerLimits returns the limits of callers that a configuration names.
func callerLimits(l routing.Limits) httpserver.Limits {
	return httpserver.Limits{MaxBodyBytes: l.MaxBodyBytes, MaxHeaderBytes: l.MaxHeaderBytes,
		HeaderTimeout: l.HeaderTimeout + l.HeaderTimeout/headerTimeoutSlack, IdleTimeout: l.IdleTimeout}
}
