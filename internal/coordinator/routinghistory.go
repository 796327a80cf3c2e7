package coordinator

import (
	"github.com/pkg/errors"

	"gentiankeel/internal/docdelta"
	"gentiankeel/internal/wire"
)

// maxRecentDocuments is the number of earlier configurations kept as bases of deltas. An
// entry that reattaches after a change of leader is rarely further behind.
const maxRecentDocuments = 4

// routingHistory encodes the configuration in force as a delta to the one that an entry
// holds. Full documents to every entry would be most of the traffic between availability
// zones in a large deployment.
type routingHistory struct {
	current *wire.RoutingRecord
	recent  []*wire.RoutingRecord          // earlier ones, the newest last
	deltas  map[uint64]*wire.RoutingRecord // current, by the version of the delta's base; 0: the full document
}

// add makes rec the configuration in force.
func (h *routingHistory) add(rec *wire.RoutingRecord) {
	if h.current != nil {
		h.recent = append(h.recent, h.current)
		h.recent = h.recent[max(0, len(h.recent)-maxRecentDocuments):]
	}
	h.current, h.deltas = rec, map[uint64]*wire.RoutingRecord{}
}

// encodeFor returns the configuration in force for an entry that holds held, its document
// encoded as a delta, and the version of the delta's base, 0 if it has none. The document
// is empty if the entry already holds it; the record is nil before the first
// configuration.
func (h *routingHistory) encodeFor(held *wire.RoutingRecord) (rec *wire.RoutingRecord, base uint64, err error) {
	if h.current == nil {
		return nil, 0, nil
	}
	if sameRecord(held, h.current) {
		return h.current.WithDocument(nil), 0, nil
	}
	var baseDocument []byte
	for _, r := range h.recent {
		if sameRecord(held, r) {
			base, baseDocument = r.Version, r.Document
		}
	}
	if rec := h.deltas[base]; rec != nil {
		return rec, base, nil
	}
	data, err := docdelta.Encode(baseDocument, h.current.Document)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "configuration %d", h.current.Version)
	}
	rec = h.current.WithDocument(data)
	h.deltas[base] = rec
	return rec, base, nil
}

func sameRecord(a, b *wire.RoutingRecord) bool {
	return a.GetVersion() == b.GetVersion() && a.GetDigest() == b.GetDigest()
}
