package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["head"] = headCase }

// headCase: requesters on kept channels ask by turns with HEAD and with GET. With the
// disruption, the operator removes the route of the HEAD requests. MIXED is broken if a requester
// gets bytes that are no answer in the protocol.
func headCase(c *cluster, trouble bool) (bool, error) {
	for i := range 2 {
		if _, err := c.startRunner(fmt.Sprintf("i-desk-%d", i+1), "desk", c.ip(3, i+1), nil); err != nil {
			return false, err
		}
	}
	old := map[string]any{"name": "old", "host": deskHost, "path_prefix": "/old/", "kind": "safe", "timeout_ms": 3000,
		"target_latency_ms": 300, "priority": 1, "service": "desk", "max_attempts": 2}
	if err := c.begin(append(deskRoutes(), old), deskServices); err != nil {
		return false, err
	}
	var bad, answered atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 6 {
		wg.Go(func() { c.headRequester(i, stop, &bad, &answered) })
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := c.put(2, deskRoutes(), deskServices, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	c.rec.note("%d answers, %d times bytes that are no answer", answered.Load(), bad.Load())
	if answered.Load() < 50 {
		return false, errors.New("too few answers")
	}
	return bad.Load() > 0, nil
}

// headRequester sends one request after another, on one channel as long as it is kept.
func (c *cluster) headRequester(i int, stop <-chan struct{}, bad, answered *atomic.Int64) {
	var conn net.Conn
	var br *bufio.Reader
	drop := func() {
		if conn != nil {
			_ = conn.Close()
		}
		conn = nil
	}
	defer drop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		method, target := http.MethodGet, "/lookup/item"
		if n%2 == 0 {
			method, target = http.MethodHead, "/old/item"
		}
		id := fmt.Sprintf("r%d-%d", i, n)
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", c.frontAddr(i%len(c.entries)), time.Second); err != nil {
				c.rec.note("requester %d: no channel: %v", i, err)
				conn = nil
				continue
			}
			br = bufio.NewReader(conn)
		}
		if c.unasked(conn, br) {
			b, _ := br.Peek(br.Buffered())
			c.rec.note("requester %d waits for no answer and reads %q", i, b)
			bad.Add(1)
			drop()
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
		c.rec.note("%s: requester sends %s %s", id, method, target)
		if _, err := io.WriteString(conn, request(method, target, id, "")); err != nil {
			drop()
			continue
		}
		req, _ := http.NewRequest(method, "http://"+deskHost+target, nil)
		res, err := http.ReadResponse(br, req)
		if err != nil {
			c.rec.note("%s %s %s: %v", id, method, target, err)
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
				bad.Add(1)
			}
			drop()
			continue
		}
		body, _ := io.ReadAll(res.Body)
		answered.Add(1)
		c.rec.note("%s %s %s: %d, length %q, body %q", id, method, target, res.StatusCode, res.Header.Get("Content-Length"), strings.TrimSpace(string(body)))
		if res.Close {
			drop()
		}
	}
}

// unasked reports whether bytes came on a channel on which no request waits.
func (c *cluster) unasked(conn net.Conn, br *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
	_, err := br.Peek(1)
	return err == nil
}
