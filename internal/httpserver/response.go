package httpserver

import (
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	maxWriteBytes    = 16 << 10 // largest single write to the library
	maxBufferedBytes = 32 << 10 // bytes written since the last flush that cause a flush
)

// response is the http.ResponseWriter given to handlers. It splits chunked writes, because
// the library's code path for large ones uses its buffer after freeing it: bytes of other
// responses could be lost or mixed in.
type response struct {
	res       *nbhttp.Response
	conn      *conn
	buffered  int
	started   bool
	hasLength bool // the response has a Content-Length and is not chunked
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.res.Header() }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) { r.res.WriteHeader(status) }

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	if !r.started {
		r.started = true
		r.hasLength = r.Header().Get("Content-Length") != ""
	}
	if r.hasLength {
		return r.res.Write(p)
	}
	written := 0
	for written < len(p) {
		chunk := p[written:min(written+maxWriteBytes, len(p))]
		n, err := r.res.Write(chunk)
		if err != nil {
			return written, err
		}
		written += n
		r.buffered += n
		if r.buffered >= maxBufferedBytes {
			r.Flush()
		}
	}
	return written, nil
}

// Flush implements http.Flusher.
func (r *response) Flush() {
	r.buffered = 0
	r.res.Flush()
}

// ConnectionCloser closes the connection of a response, at once or after the response. The
// response writers of this package implement it.
type ConnectionCloser interface {
	// Abort closes the connection immediately, so that the caller can't take a truncated
	// response for a complete one.
	Abort()
	// CloseAfterResponse closes the connection after this response. It must be called before
	// the response's header is written.
	CloseAfterResponse()
}

// Abort implements ConnectionCloser.
func (r *response) Abort() { r.conn.closeNow() }

// CloseAfterResponse implements ConnectionCloser.
func (r *response) CloseAfterResponse() {
	r.conn.mu.Lock()
	r.conn.closeAfter = true
	r.conn.mu.Unlock()
	r.Header().Set("Connection", "close")
}
