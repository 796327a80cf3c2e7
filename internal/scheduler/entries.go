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
