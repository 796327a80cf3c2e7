package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

// startResettingUpstream starts an upstream that answers each request before it has read the body, with the part of a
// response that ends with its connection, and resets that.
func startResettingUpstream(t *testing.T, contentType, part string) *wire.UpstreamState {
	t.Helper()
	ln := listen(t)
	serve := func(c net.Conn) {
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nSigned: yes\r\nContent-Type: "+contentType+"\r\nConnection: close\r\n\r\n"+part)
		time.Sleep(2 * time.Millisecond) // a reset discards what is unsent
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return &wire.UpstreamState{Id: "u1", BornUnixMs: 1, Service: "s", Address: ln.Addr().String(), Slots: 8, Phase: wire.UpstreamPhase_PHASE_READY}
}

// Guards against the part of a response before a reset being passed on as the whole, when the kernel reports the reset
// to the write of the request's body.
func TestRandomResets_PartNeverPassedOnAsWhole(t *testing.T) {
	for path, contentType := range map[string]string{"/stream/x": "text/event-stream", "/unsafe/x": "text/plain"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := startEntry(t, startResettingUpstream(t, contentType, firstPieces))
			whole := 0
			const rounds = 40
			for range rounds {
				req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr()+path, bytes.NewReader(make([]byte, DefaultMaxBodyBytes)))
				is.NoErr(err)
				req.Host = "h.example"
				req.Header.Set("Id", "q1")
				req.Header.Set("Wait", "5000")
				res, err := http.DefaultTransport.RoundTrip(req)
				if err != nil {
					continue
				}
				if _, err := io.ReadAll(res.Body); err == nil && res.StatusCode == http.StatusOK {
					whole++
				}
				res.Body.Close()
			}
			if whole > 0 {
				t.Errorf("%d of %d responses that were reset reached their caller as whole", whole, rounds)
			}
		})
	}
}
