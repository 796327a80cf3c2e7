package scheduler

import (
	"time"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/orders"
	"gentiankeel/internal/wire"
)

// reportCutAnswer passes an upstream that cut an answer off to the orders core, which reads
// the upstream's state.
func (t *term) reportCutAnswer(m sessionEvent) {
	if m.cutUpstream != "" {
		t.stepOrders(orders.AnswerCut{Upstream: m.cutUpstream})
	}
}

// openSession starts an entry's session and closes an earlier one of the same entry.
func (t *term) openSession(m sessionOpened) {
	if old, ok := t.sessions[m.ss.entry]; ok {
		close(old.closed)
	}
	t.sessions[m.ss.entry] = m.ss
	delete(t.disconnectedAt, m.ss.entry)
	t.send(m.ss, &wire.SchedulerMessage{Msg: &wire.SchedulerMessage_Welcome{
		Welcome: &wire.Welcome{Fence: t.fence, Cell: t.server.opts.Cell}}})
	t.stepGrants(grant.EntryHello{Entry: m.ss.entry, Held: heldGrants(m.hello.Held)})
	for _, h := range m.hello.Held {
		up := h.GetGrant().GetUpstream()
		if newest := t.incarnations[up]; !h.GetCut() && h.GetGrant().GetIncarnation() < newest {
			t.send(m.ss, restartedMessage(up, newest))
		}
	}
}

// trackIncarnation tells all entries when an incarnation of an upstream has announced itself,
// so that they end what still waits for an answer of an earlier one.
func (t *term) trackIncarnation(ev grant.Event) {
	switch ev := ev.(type) {
	case grant.UpstreamGone:
		delete(t.incarnations, ev.ID)
	case grant.UpstreamState:
		if ev.Incarnation <= t.incarnations[ev.ID] {
			return
		}
		t.incarnations[ev.ID] = ev.Incarnation
		for _, ss := range t.sessions {
			t.send(ss, restartedMessage(ev.ID, ev.Incarnation))
		}
	}
}

func restartedMessage(upstream string, incarnation uint64) *wire.SchedulerMessage {
	return &wire.SchedulerMessage{Msg: &wire.SchedulerMessage_UpstreamRestarted{
		UpstreamRestarted: &wire.UpstreamRestarted{Upstream: upstream, Incarnation: incarnation}}}
}

// closeSession closes a session unless a newer one has replaced it. The entry counts as gone
// if it does not reconnect within reconnectGrace.
func (t *term) closeSession(ss *entrySession) {
	if t.sessions[ss.entry] != ss {
		return
	}
	delete(t.sessions, ss.entry)
	close(ss.closed)
	t.disconnectedAt[ss.entry] = time.Now()
}

// sendTo sends a message on an entry's session. An entry without a session resends its asks
// when it reconnects.
func (t *term) sendTo(entry string, msg *wire.SchedulerMessage) {
	if ss, ok := t.sessions[entry]; ok {
		t.send(ss, msg)
	}
}

// send queues a message for a session and closes the session if its outbox is full.
func (t *term) send(ss *entrySession, msg *wire.SchedulerMessage) {
	select {
	case ss.outbox <- msg:
	default:
		t.log.Warn("The outbox of an entry's session is full; the session is closed.", "entry", ss.entry)
		t.closeSession(ss)
	}
}
