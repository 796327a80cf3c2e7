package httpresponse

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// Conn is a connection of an http.Transport whose responses are checked.
type Conn struct {
	net.Conn
	responses *Reader
}

// NewConn returns a Conn over c.
func NewConn(c net.Conn) Conn { return Conn{Conn: c, responses: NewReader(c)} }

// Read implements net.Conn.
func (c Conn) Read(p []byte) (int, error) { return c.responses.Read(p) }

func (c Conn) reader() *Reader { return c.responses }

// Trace returns a context for one request through Conns, and a function that returns the error of an invalid response to it,
// nil if there was none. The transport may report that error as another one.
func Trace(ctx context.Context, method string) (context.Context, func() error) {
	var reader atomic.Pointer[Reader]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(interface{ reader() *Reader }); ok {
				c.reader().Expect(method)
				reader.Store(c.reader())
			}
		},
	})
	return ctx, func() error {
		if r := reader.Load(); r != nil {
			return r.Err()
		}
		return nil
	}
}
