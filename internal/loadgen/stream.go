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
	endMark    = []byte("[DONE]")

	errNoEndMark = errors.New("the stream ended without its end mark")
)

// event is one server-sent event.
type event struct {
	name string
	data []byte
}

// chunk is the part of a streamed completion that is read.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *problem `json:"error"`
}

// eventReader cuts a stream into events.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	return &eventReader{lines: s}
}

// next returns the next event that holds data.
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
	return event{}, errNoEndMark
}

// readStream reads a streamed completion. It is whole only with its end mark.
func (c *client) readStream(r *Result, body io.Reader, start time.Time) {
	events := newEventReader(body)
	var text strings.Builder
	last := start
	for {
		ev, err := events.next()
		if err != nil {
			r.lost(err)
			return
		}
		if bytes.Equal(ev.data, endMark) {
			c.finishStream(r, text.String())
			return
		}
		var ch chunk
		if err := json.Unmarshal(ev.data, &ch); err != nil {
			r.lost(errors.Wrap(err, "an event is no JSON"))
			return
		}
		if ch.Error != nil {
			// A stream that has begun can fail only in its last event.
			r.Outcome, r.Kind, r.Ran, r.Detail = Refused, ch.Error.Kind, ch.Error.Ran, ch.Error.Detail
			return
		}
		if len(ch.Choices) == 0 || ch.Choices[0].Text == "" {
			continue
		}
		now := time.Now()
		r.countToken(start, last, now)
		last = now
		text.WriteString(ch.Choices[0].Text)
	}
}

func (r *Result) countToken(start, last, now time.Time) {
	if r.Tokens == 0 {
		r.FirstToken = now.Sub(start)
	} else {
		r.MaxGap = max(r.MaxGap, now.Sub(last))
	}
	r.Tokens++
}

func (c *client) finishStream(r *Result, text string) {
	r.Outcome = Whole
	if c.text == nil {
		return
	}
	a := r.Arrival
	if want := c.text(a.Model, a.Adapter, prompt(a), a.Tokens); text != want {
		r.Outcome = Wrong
		r.Detail = fmt.Sprintf("the text of %d tokens is not the one to prompt %q", r.Tokens, prompt(a))
	}
}
