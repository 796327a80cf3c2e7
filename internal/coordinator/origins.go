package coordinator

import (
	"context"
	"strconv"
	"time"

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

const (
	// saveInterval is the shortest time between two commits of origins.
	saveInterval = 100 * time.Millisecond
	// maxUnsaved bounds the origins that wait for a commit, and those of one.
	maxUnsaved = 1 << 15
)

// originSaver holds the origins that are to be committed. While several versions of a service's software run or ran lately, the
// origin of a stream can't be told from the versions, and would be lost with the entries and the coordinator. It is owned by
// runLoop.
type originSaver struct {
	isActive bool
	unsaved  *wire.OriginList // nil: none
	isSaving bool
	lastSave time.Time
}

// originsSaved is an input of runLoop: the result of a commit.
type originsSaved struct {
	origins *wire.OriginList
	failed  bool
}

func (s *originSaver) add(key uint64, software string) {
	if !s.isActive || len(s.unsaved.GetKeys()) >= maxUnsaved {
		return
	}
	if s.unsaved == nil {
		s.unsaved = &wire.OriginList{}
	}
	s.unsaved.Add(key, software)
}

func (s *originSaver) handleSaved(in originsSaved) {
	s.isSaving = false
	if in.failed {
		in.origins.Each(s.add)
	}
}

// recordOrigin records which software began a stream.
func (t *term) recordOrigin(key streamorigin.Key, software string) {
	known, ok := t.origins.Get(key)
	t.origins.Put(t.now(), key, software)
	if now, _ := t.origins.Get(key); !ok || now != known {
		t.saver.add(uint64(key), now)
	}
}

// restoreOrigins adopts the origins that earlier terms committed.
func (t *term) restoreOrigins() {
	control := t.server.o.Control
	t.saver.isActive = control.Software().HasSeveralVersions()
	control.Origins().Each(func(key uint64, software string) { t.origins.Put(t.now(), streamorigin.Key(key), software) })
}

// saveOrigins commits the origins of streams while several versions ran lately, at first those of the streams begun before.
func (t *term) saveOrigins() {
	s := &t.saver
	if !t.core.HasSeveralVersions() {
		s.isActive, s.unsaved = false, nil
		return
	}
	if !s.isActive {
		s.isActive = true
		t.origins.Each(func(key streamorigin.Key, software string) { s.add(uint64(key), software) })
	}
	if s.isSaving || s.unsaved == nil || time.Since(s.lastSave) < saveInterval {
		return
	}
	list := s.unsaved
	s.unsaved, s.isSaving, s.lastSave = nil, true, time.Now()
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		defer cancel()
		res, err := t.server.o.Control.RecordOrigins(ctx, &wire.RecordOrigins{Token: t.token, Origins: list})
		failed := err != nil || res.Code != wire.ResultCode_RESULT_OK
		if failed {
			t.log.Info("Origins of streams could not be recorded.", "streams", len(list.Keys), "detail", res.GetDetail(), "error", errText(err))
		}
		t.server.m.savedOrigins.WithLabelValues(strconv.FormatBool(!failed)).Add(float64(len(list.Keys)))
		if err := t.submit(t.ctx, originsSaved{list, failed}); err != nil {
			t.log.Debug("The term ended before the result of a commit of origins was handled.")
		}
	})
}
