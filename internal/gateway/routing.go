package gateway

import (
	"github.com/pkg/errors"

	"gentiankeel/internal/docdelta"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// takeRouting puts a configuration in force that the coordinator sent as a delta to the
// version base. An older one changes nothing. After an error the next hello asks for the
// whole document.
func (s *Server) takeRouting(rec *wire.RoutingRecord, base uint64) error {
	if rec == nil || rec.Version <= s.held.GetVersion() {
		return nil
	}
	document, err := s.document(rec, base)
	if err != nil {
		s.held = nil
		return errors.Wrapf(err, "configuration %d", rec.Version)
	}
	s.held = rec.WithDocument(document)
	s.setRouting(s.held)
	return nil
}

// document returns the document that rec means. Its digest guards against a base other
// than the coordinator took.
func (s *Server) document(rec *wire.RoutingRecord, base uint64) ([]byte, error) {
	var from []byte
	if base != 0 {
		if s.held.GetVersion() != base {
			return nil, errors.Errorf("it is a delta to version %d, held is %d", base, s.held.GetVersion())
		}
		from = s.held.Document
	}
	document, err := docdelta.Decode(from, rec.Document)
	if err != nil {
		return nil, err
	}
	if spec.Digest(document) != rec.Digest {
		return nil, errors.New("its document has another digest")
	}
	return document, nil
}

// setRouting puts a configuration in force; an older one changes nothing.
func (s *Server) setRouting(rec *wire.RoutingRecord) {
	cur := s.table.Load()
	if cur != nil && rec.Version <= cur.Config.Version {
		return
	}
	config, err := s.o.Dialect.Decode(rec.Document)
	if err != nil {
		s.log.Error("The configuration in force can't be read.", "version", rec.Version, "error", err)
		return
	}
	s.table.Store(routing.NewTable(config))
	s.mu.Lock()
	s.decided(s.core.SetConfig(s.now(), config))
	s.mu.Unlock()
	s.m.version.Set(float64(rec.Version))
	s.log.Info("Configuration is in force.", "version", rec.Version, "digest", rec.Digest, "index", rec.Index,
		"routes", len(config.Routes))
}
