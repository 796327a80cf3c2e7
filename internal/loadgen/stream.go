package loadgen

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const maxLineBytes = 1 << 20

var (
	dataField  = []byte("data:")
	eventField = []byte("event:")
	doneMarker = []byte("[DONE]")

	errNoDoneMarker = errors.New("the stream ended without its end mark")
)

// event is a server-sent event.
type event struct {
	name string
	data []byte
}

// chunk holds the fields of a streamed completion that are read.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *problem `json:"error"`
}

// eventReader splits a stream into server-sent events.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	return &eventReader{lines: s}
}

// next returns the next event that has data. A stream that ends before it yields
// errNoDoneMarker.
func (e *eventReader) next() (event, error) {
	var ev event
	for e.lines.Scan() {
		line := e.lines.Bytes()
		switch {
		case len(line) == 0 && ev.data != nil:
			return ev, nil
		case bytes.HasPrefix(line, eventField):
			ev.name = string(bytes.TrimSpace(line[len(eventField):]))
		case bytes.HasPrefix(line, dataField):
			ev.data = append(ev.data, bytes.TrimSpace(line[len(dataField):])...)
		}
	}
	if err := e.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, errNoDoneMarker
}

// readStream reads a streamed completion, which is complete only with the [DONE] marker.
func (c *client) readStream(r *Result, body io.Reader, start time.Time) {
	events := newEventReader(body)
	var text strings.Builder
	last := start
	for {
		ev, err := events.next()
		if err != nil {
			r.setLost(err)
			return
		}
		if bytes.Equal(ev.data, doneMarker) {
			c.finishStream(r, text.String())
			return
		}
		var ch chunk
		if err := json.Unmarshal(ev.data, &ch); err != nil {
			r.setLost(errors.Wrap(err, "an event is no JSON"))
			return
		}
		if ch.Error != nil {
			// Once a stream has begun, its last event is the only place for an error.
			r.Outcome, r.Kind, r.Ran, r.Detail = OutcomeRefused, ch.Error.Kind, ch.Error.Ran, ch.Error.Detail
			return
		}
		if len(ch.Choices) == 0 || ch.Choices[0].Text == "" {
			continue
		}
		now := time.Now()
		r.recordToken(start, last, now)
		last = now
		text.WriteString(ch.Choices[0].Text)
	}
}

func (r *Result) recordToken(start, last, now time.Time) {
	if r.Tokens == 0 {
		r.FirstToken = now.Sub(start)
	} else {
		r.MaxGap = max(r.MaxGap, now.Sub(last))
	}
	r.Tokens++
}

func (c *client) finishStream(r *Result, text string) {
	r.Outcome = OutcomeWhole
	if c.expectedText == nil {
		return
	}
	a := r.Arrival
	if want := c.expectedText(a.Model, a.Adapter, promptFor(a), a.Tokens); text != want {
		r.Outcome = OutcomeWrong
		r.Detail = fmt.Sprintf("the text of %d tokens is not the one to prompt %q", r.Tokens, promptFor(a))
	}
}
