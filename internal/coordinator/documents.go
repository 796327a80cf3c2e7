package coordinator

import (
	"github.com/pkg/errors"

	"gentiankeel/internal/docdelta"
	"gentiankeel/internal/wire"
)

// recentDocuments is how many configurations before the one in force are kept as bases:
// an entry that attaches again after a change of leader is rarely further behind.
const recentDocuments = 4

// documents sends the configuration in force to entries as the difference to the one that
// they hold. Whole documents to every entry would be most of what a large deployment
// sends between zones.
type documents struct {
	current *wire.RoutingRecord
	recent  []*wire.RoutingRecord          // before current, the newest last
	deltas  map[uint64]*wire.RoutingRecord // current for holders of a version; 0: of none
}

// put makes rec the configuration in force.
func (d *documents) put(rec *wire.RoutingRecord) {
	if d.current != nil {
		d.recent = append(d.recent, d.current)
		d.recent = d.recent[max(0, len(d.recent)-recentDocuments):]
	}
	d.current, d.deltas = rec, map[uint64]*wire.RoutingRecord{}
}

// forHolder returns the configuration in force for an entry that holds a version, and the
// version that its document is a delta to. The document is empty when the entry holds it.
func (d *documents) forHolder(held *wire.RoutingRecord) (rec *wire.RoutingRecord, base uint64, err error) {
	if d.current == nil {
		return nil, 0, nil
	}
	if isSame(held, d.current) {
		return d.current.WithDocument(nil), 0, nil
	}
	var from []byte
	for _, r := range d.recent {
		if isSame(held, r) {
			base, from = r.Version, r.Document
		}
	}
	if rec := d.deltas[base]; rec != nil {
		return rec, base, nil
	}
	data, err := docdelta.Encode(from, d.current.Document)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "configuration %d", d.current.Version)
	}
	rec = d.current.WithDocument(data)
	d.deltas[base] = rec
	return rec, base, nil
}

func isSame(a, b *wire.RoutingRecord) bool {
	return a.GetVersion() == b.GetVersion() && a.GetDigest() == b.GetDigest()
}
