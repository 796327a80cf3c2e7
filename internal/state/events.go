package state

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// eventLog holds the latest decisions and refusals for Explain. A repetition of a
// subject's latest event increments its count, so that a plan retried every second does
// not evict all other events.
type eventLog struct {
	list   []*wire.Event
	latest map[string]int // by subject: position in list, plus dropped
	// dropped is the number of events removed from the front of list.
	dropped int
}

func newEventLog() eventLog { return eventLog{latest: map[string]int{}} }

func (l *eventLog) add(e *wire.Event, limit int) {
	if position, ok := l.latest[e.Subject]; ok && l.list[position-l.dropped].Text == e.Text {
		repeated := proto.CloneOf(l.list[position-l.dropped])
		repeated.Index, repeated.AtUnixMs = e.Index, e.AtUnixMs
		repeated.Count++
		l.list[position-l.dropped] = repeated
		return
	}
	l.list = append(l.list, e)
	l.latest[e.Subject] = len(l.list) - 1 + l.dropped
	for len(l.list) > limit {
		first := l.list[0]
		if l.latest[first.Subject] == l.dropped {
			delete(l.latest, first.Subject)
		}
		l.list = l.list[1:]
		l.dropped++
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
