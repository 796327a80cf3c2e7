package coordinator

import (
	"context"

	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// unknownOrigins is an input of runLoop: no other coordinator has acted until after an entry asked for these streams.
type unknownOrigins struct {
	es       *entryStream
	requests []uint64
}

// confirmUnknown makes runLoop tell an entry that streams are not known, once it is certain that this is still the acting
// coordinator. The clock of a VM that was suspended stood still, so that the leader lease does not show that. Otherwise
// the entry gets no answer.
func (t *term) confirmUnknown(es *entryStream, requests []uint64) {
	if len(requests) == 0 {
		return
	}
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		defer cancel()
		control := t.server.o.Control
		err := control.ReadBarrier(ctx)
		if st := control.Status(); err != nil || !st.IsLeader || st.Term != t.token {
			t.log.Warn("Whether streams are known can't be told.", "entry", es.entry, "streams", len(requests), "term", st.Term, "error", errText(err))
			return
		}
		if err := t.submit(t.ctx, unknownOrigins{es, requests}); err != nil {
			t.log.Debug("The term ended before an entry was told that streams are not known.")
		}
	})
}

// answerUnknown answers for streams that were not known when an entry asked.
func (t *term) answerUnknown(in unknownOrigins) {
	if t.entries[in.es.entry] != in.es {
		return
	}
	up := &wire.FleetUpdate{Term: t.token}
	for _, request := range in.requests {
		software, ok := t.origins.Get(streamorigin.Key(request))
		up.Origins = append(up.Origins, &wire.StreamOrigin{Request: request, Software: software, Unknown: !ok})
	}
	t.enqueue(in.es, up)
}
