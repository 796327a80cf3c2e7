package state

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// eventRing holds the latest decisions and refusals for explain. The same event again
// for a subject is counted, so that a plan retried every second does not drive the
// others out.
type eventRing struct {
	list   []*wire.Event
	latest map[string]int // index in list plus dropped, by subject
	// dropped is how many events have left the front of the list.
	dropped int
}

func newEventRing() eventRing { return eventRing{latest: map[string]int{}} }

func (r *eventRing) add(e *wire.Event, most int) {
	if at, ok := r.latest[e.Subject]; ok && r.list[at-r.dropped].Text == e.Text {
		again := proto.CloneOf(r.list[at-r.dropped])
		again.Index, again.AtUnixMs = e.Index, e.AtUnixMs
		again.Count++
		r.list[at-r.dropped] = again
		return
	}
	r.list = append(r.list, e)
	r.latest[e.Subject] = len(r.list) - 1 + r.dropped
	for len(r.list) > most {
		first := r.list[0]
		if r.latest[first.Subject] == r.dropped {
			delete(r.latest, first.Subject)
		}
		r.list = r.list[1:]
		r.dropped++
	}
}

// note records an event about a subject.
func (m *Machine) note(subject, format string, args ...any) {
	m.events.add(&wire.Event{
		Index: m.index, AtUnixMs: m.now, Subject: subject, Count: 1,
		Text: fmt.Sprintf(format, args...),
	}, m.opts.Events)
}

// subjectOf names what an order is about: "model" or "model:adapter".
func subjectOf(o *wire.Order) string {
	if o.Adapter == "" {
		return o.Model
	}
	return o.Model + ":" + o.Adapter
}

func eventLine(e *wire.Event) string {
	line := fmt.Sprintf("%s index %d: %s", formatTime(e.AtUnixMs), e.Index, e.Text)
	if e.Count > 1 {
		line += fmt.Sprintf(" (%d times)", e.Count)
	}
	return line
}

func formatTime(unixMs int64) string {
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}
