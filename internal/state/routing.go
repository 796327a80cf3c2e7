package state

import (
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// routingSubject names the routing configuration in Explain.
const routingSubject = "routing"

// putRouting puts the document with the highest version in force. The same version
// again is answered as such, with other content it is refused.
func (m *Machine) putRouting(cmd *wire.PutRouting) *wire.Result {
	next := cmd.GetRouting()
	if next.GetVersion() == 0 || next.GetDigest() == "" || len(next.GetDocument()) == 0 {
		return m.invalid("a routing configuration needs a version, a digest and a document")
	}
	outcome := wire.ApplyOutcome_APPLY_ACCEPTED
	switch cur := m.routing; {
	case next.Version < cur.GetVersion():
		outcome = wire.ApplyOutcome_APPLY_REFUSED_OLDER
	case next.Version == cur.GetVersion() && next.Digest == cur.GetDigest():
		outcome = wire.ApplyOutcome_APPLY_SAME
	case next.Version == cur.GetVersion():
		outcome = wire.ApplyOutcome_APPLY_REFUSED_CONFLICT
	default:
		m.routing = &wire.RoutingRecord{
			Version: next.Version, Digest: next.Digest, Document: next.Document, Index: m.index,
		}
		m.note(routingSubject, "version %d, digest %s is in force", next.Version, next.Digest)
	}
	r := m.ok()
	r.RoutingOutcome = outcome
	r.Routing = m.routing.WithDocument(nil)
	return r
}

// Routing returns the routing configuration in force, nil before the first one. It must
// not be changed.
func (m *Machine) Routing() *wire.RoutingRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.routing
}

// restoreRouting takes the configuration of a snapshot over.
func (m *Machine) restoreRouting(s *wire.MachineState) {
	m.routing = nil
	if s.Routing != nil {
		m.routing = proto.CloneOf(s.Routing)
	}
}
