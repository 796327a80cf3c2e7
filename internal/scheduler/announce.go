package scheduler

import (
	"time"

	"gentiankeel/internal/orders"
	"gentiankeel/internal/wire"
)

const (
	// heartbeatsPerSecond bounds the heartbeats that a cell's upstreams send together.
	heartbeatsPerSecond = 50
	// leastHeartbeatPause is the pause between two heartbeats of one upstream of a
	// small cell.
	leastHeartbeatPause = time.Second
)

func (a *active) announced(m announced) {
	a.stepOrders(orders.Announced{Announcement: *m.ann})
	m.answer <- &wire.AnnounceResponse{
		Known:       true, // a state that was missed is read from the upstream
		NextAfterMs: wholeMilliseconds(a.heartbeatPause()),
	}
}

// heartbeatPause grows with the cell, so that its heartbeats cost the same a second. It
// leaves two heartbeats to the time after which a silent upstream is suspected.
func (a *active) heartbeatPause() time.Duration {
	pause := time.Duration(a.orders.Upstreams()) * time.Second / heartbeatsPerSecond
	return min(max(pause, leastHeartbeatPause), a.s.o.Suspect/2)
}
