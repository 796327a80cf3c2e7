package state

import (
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// routingSubject is the routing configuration's subject in Explain.
const routingSubject = "routing"

// putRouting puts a document in force if its version is higher than the current one. A
// resend of the current version is answered as the same; the current version with another
// digest is refused as a conflict, a lower version as older.
func (m *Machine) putRouting(cmd *wire.PutRouting) *wire.Result {
	next := cmd.GetRouting()
	if next.GetVersion() == 0 || next.GetDigest() == "" || len(next.GetDocument()) == 0 {
		return m.invalidResult("a routing configuration needs a version, a digest and a document")
	}
	outcome := wire.ApplyOutcome_APPLY_ACCEPTED
	switch current := m.routing; {
	case next.Version < current.GetVersion():
		outcome = wire.ApplyOutcome_APPLY_REFUSED_OLDER
	case next.Version == current.GetVersion() && next.Digest == current.GetDigest():
		outcome = wire.ApplyOutcome_APPLY_SAME
	case next.Version == current.GetVersion():
		outcome = wire.ApplyOutcome_APPLY_REFUSED_CONFLICT
	default:
		m.routing = &wire.RoutingRecord{
			Version: next.Version, Digest: next.Digest, Document: next.Document, Index: m.index,
		}
		m.recordEvent(routingSubject, "version %d, digest %s is in force", next.Version, next.Digest)
	}
	r := m.okResult()
	r.RoutingOutcome = outcome
	r.Routing = m.routing.WithDocument(nil)
	return r
}

// Routing returns the routing configuration in force, or nil before the first one. It must
// not be modified.
func (m *Machine) Routing() *wire.RoutingRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.routing
}

// restoreRouting replaces the routing configuration by that of a snapshot.
func (m *Machine) restoreRouting(s *wire.MachineState) {
	m.routing = nil
	if s.Routing != nil {
		m.routing = proto.CloneOf(s.Routing)
	}
}
