package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gentiankeel/internal/upstream"
)

// An upstream may send bytes without end. The entry must close the connection soon, without
// having taken in more than its bounds, and answer the caller that nothing complete came.
func TestEndlessBytes_OfAnyKind(t *testing.T) {
	const streamHead = "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n"
	const socketBuffers = 8 << 20 // of the kernel, for both ends
	for name, c := range map[string]struct {
		start, repeated string
		maxBytes        int64
		json            bool // the caller expects no stream
	}{
		"status line":          {start: "HTTP/1.1 200 ", repeated: "O", maxBytes: 1 << 20},
		"header fields":        {start: "HTTP/1.1 200 OK\r\n%s", repeated: "X-Field: value\r\n", maxBytes: 1 << 20},
		"body":                 {json: true, start: "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", repeated: "4\r\nbody\r\n", maxBytes: 16 << 20},
		"events without index": {start: streamHead + tokenEvent(0), repeated: "data: x\n\n", maxBytes: 1 << 20},
		"comments":             {start: streamHead + tokenEvent(0), repeated: ": x\n\n", maxBytes: 8 << 20},
		"empty lines":          {start: streamHead + tokenEvent(0), repeated: "\n", maxBytes: 8 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan closing, 8)
			u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, r *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				sendUntilClosed(conn, strings.ReplaceAll(c.start, "%s", upstream.HeaderAttempt+": "+r.Header.Get(upstream.HeaderAttempt)+"\r\n"),
					c.repeated, &sent, closed)
			})
			h := newHarness(t, newFakeScheduler(u), func(o *Options) { o.MaxAttempts = 1 })
			res := httpResult{}
			if c.json {
				res = h.post(upstream.PathCompletions, jsonBody)
				h.is.Equal(res.status, http.StatusBadGateway)
			} else {
				res = h.stream()
			}
			h.is.True(!strings.Contains(res.body, "[DONE]"))
			got := <-closed
			h.is.Equal(got.stalled, false) // the entry neither read nor closed
			h.is.True(got.after < slowdown*2*time.Second)
			h.is.True(sent.Load() <= c.maxBytes+socketBuffers)
		})
	}
}

// closing is how a connection ended.
type closing struct {
	after   time.Duration
	stalled bool // the peer read nothing for 2 s
}

// sendUntilClosed sends start and then repeated until the peer closes the connection or
// stalls, at most 256 MiB.
func sendUntilClosed(conn net.Conn, start, repeated string, sent *atomic.Int64, closed chan<- closing) {
	began := time.Now()
	var err error
	defer func() {
		closed <- closing{after: time.Since(began), stalled: errors.Is(err, os.ErrDeadlineExceeded)}
	}()
	if _, err = io.WriteString(conn, start); err != nil {
		return
	}
	block := []byte(strings.Repeat(repeated, 64<<10/len(repeated)))
	for err == nil && sent.Load() < 256<<20 {
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		var n int
		n, err = conn.Write(block)
		sent.Add(int64(n))
	}
}
