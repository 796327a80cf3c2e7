package scheduler

import (
	"time"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/orders"
	"gentiankeel/internal/wire"
)

// doubt has an upstream looked at whose answer was cut off.
func (a *active) doubt(m sessionEvent) {
	if m.cutUpstream != "" {
		a.stepOrders(orders.Doubted{Upstream: m.cutUpstream})
	}
}

func (a *active) openSession(m sessionOpened) {
	if old, ok := a.sessions[m.ss.entry]; ok {
		close(old.closed)
	}
	a.sessions[m.ss.entry] = m.ss
	delete(a.departed, m.ss.entry)
	a.send(m.ss, &wire.SchedulerMessage{Msg: &wire.SchedulerMessage_Welcome{
		Welcome: &wire.Welcome{Fence: a.fence, Cell: a.s.o.Cell}}})
	a.stepGrants(grant.EntryHello{Entry: m.ss.entry, Held: heldOf(m.hello.Held)})
}

func (a *active) closeSession(ss *entrySession) {
	if a.sessions[ss.entry] != ss {
		return
	}
	delete(a.sessions, ss.entry)
	close(ss.closed)
	a.departed[ss.entry] = time.Now()
}

// sendTo sends to an entry's session. An entry without one asks again when it returns.
func (a *active) sendTo(entry string, msg *wire.SchedulerMessage) {
	if ss, ok := a.sessions[entry]; ok {
		a.send(ss, msg)
	}
}

func (a *active) send(ss *entrySession, msg *wire.SchedulerMessage) {
	select {
	case ss.outbox <- msg:
	default:
		a.log.Warn("A session's outbox is full; it is closed.", "entry", ss.entry)
		a.closeSession(ss)
	}
}
