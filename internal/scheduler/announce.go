package scheduler

import (
	"time"

	"gentiankeel/internal/orders"
	"gentiankeel/internal/wire"
)

const (
	// maxAnnouncementsPerSecond bounds the announcements of all upstreams of a cell together.
	maxAnnouncementsPerSecond = 50
	// minAnnounceInterval is the time between two announcements of an upstream in a small
	// cell.
	minAnnounceInterval = time.Second
)

func (t *term) handleAnnouncement(m announcementInput) {
	t.stepOrders(orders.Announced{Announcement: *m.ann})
	m.reply <- &wire.AnnounceResponse{
		Known:       true, // no full announcement is requested: a missed state is read instead
		NextAfterMs: ceilMilliseconds(t.announceInterval()),
	}
}

// announceInterval returns the time between two announcements of an upstream. It grows with
// the number of upstreams, so that their total rate is bounded, up to half of SuspectAfter,
// so that a single lost announcement makes no upstream suspect.
func (t *term) announceInterval() time.Duration {
	interval := time.Duration(t.orders.UpstreamCount()) * time.Second / maxAnnouncementsPerSecond
	return min(max(interval, minAnnounceInterval), t.server.opts.SuspectAfter/2)
}
