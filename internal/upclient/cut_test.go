package upclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
)

// An upstream that stops after any byte of its response and closes must never be taken for one that
// responded: neither with an empty body, nor with a short one that ends as if it were whole.
func TestDo_ResponseCutAfterEachByte(t *testing.T) {
	const body = "a whole body"
	for name, response := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Other: b\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n%s\r\n6\r\n%s\r\n0\r\n\r\n", body[:6], body[6:]),
		"early":  fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nX-Id: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept connection %v", name, kept), func(t *testing.T) {
				for cut := range len(response) {
					addr, _ := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
						if kept {
							if _, _, ok := readRequest(br); ok {
								writeResponse(c, "first", "x")
							}
						}
						if _, _, ok := readRequest(br); ok {
							_, _ = io.WriteString(c, response[:cut])
						}
					})
					p := New(matchByID())
					if kept {
						res, f := p.Do(context.Background(), newCall(addr, "first", "x"))
						if f != nil {
							t.Fatal(f)
						}
						readBody(t, res)
					}
					res, f := p.Do(context.Background(), newCall(addr, "a", "x"))
					if f != nil {
						continue
					}
					if got, err := io.ReadAll(res.Body); err == nil {
						t.Errorf("cut after %d bytes, %q: a complete response %q", cut, response[:cut], got)
					}
				}
			})
		}
	}
}
