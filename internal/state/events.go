package state

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// eventRing holds the latest decisions and refusals for Explain. A repetition of a
// subject's latest event increments its count, so that a plan retried every second does
// not evict all other events.
type eventRing struct {
	list   []*wire.Event
	latest map[string]int // by subject: position in list, plus dropped
	// dropped is the number of events removed from the front of list.
	dropped int
}

func newEventRing() eventRing { return eventRing{latest: map[string]int{}} }

func (r *eventRing) add(e *wire.Event, limit int) {
	if position, ok := r.latest[e.Subject]; ok && r.list[position-r.dropped].Text == e.Text {
		repeated := proto.CloneOf(r.list[position-r.dropped])
		repeated.Index, repeated.AtUnixMs = e.Index, e.AtUnixMs
		repeated.Count++
		r.list[position-r.dropped] = repeated
		return
	}
	r.list = append(r.list, e)
	r.latest[e.Subject] = len(r.list) - 1 + r.dropped
	for len(r.list) > limit {
		first := r.list[0]
		if r.latest[first.Subject] == r.dropped {
			delete(r.latest, first.Subject)
		}
		r.list = r.list[1:]
		r.dropped++
	}
}

// recordEvent records an event about a subject.
func (m *Machine) recordEvent(subject, format string, args ...any) {
	m.events.add(&wire.Event{
		Index: m.index, AtUnixMs: m.now, Subject: subject, Count: 1,
		Text: fmt.Sprintf(format, args...),
	}, m.opts.Events)
}

// orderSubject returns the subject of an order's events: "model" or "model:adapter".
func orderSubject(o *wire.Order) string {
	if o.Adapter == "" {
		return o.Model
	}
	return o.Model + ":" + o.Adapter
}

func formatEvent(e *wire.Event) string {
	line := fmt.Sprintf("%s index %d: %s", formatTime(e.AtUnixMs), e.Index, e.Text)
	if e.Count > 1 {
		line += fmt.Sprintf(" (%d times)", e.Count)
	}
	return line
}

func formatTime(unixMs int64) string {
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}
