package scheduler

import (
	"time"

	"gentiankeel/internal/orders"
	"gentiankeel/internal/wire"
)

const (
	// maxHeartbeatsPerSecond bounds the heartbeats of all upstreams of a cell.
	maxHeartbeatsPerSecond = 50
	// minHeartbeatInterval is the time between two heartbeats of an upstream in a small
	// cell.
	minHeartbeatInterval = time.Second
)

func (t *term) handleAnnouncement(m announcementInput) {
	t.stepOrders(orders.Announced{Announcement: *m.ann})
	m.reply <- &wire.AnnounceResponse{
		Known:       true, // a missed state is read from the upstream
		NextAfterMs: ceilMilliseconds(t.heartbeatInterval()),
	}
}

// heartbeatInterval grows with the number of upstreams, so that the rate of all heartbeats
// is bounded. Two heartbeats fit into the time after which a silent upstream is suspected.
func (t *term) heartbeatInterval() time.Duration {
	interval := time.Duration(t.orders.UpstreamCount()) * time.Second / maxHeartbeatsPerSecond
	return min(max(interval, minHeartbeatInterval), t.server.opts.SuspectAfter/2)
}
