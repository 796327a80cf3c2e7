package httpserver

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	maxWriteBytes    = 16 << 10 // largest single write to the library
	maxBufferedBytes = 32 << 10 // bytes written since the last flush that cause a flush
)

// response is the http.ResponseWriter given to handlers. It splits chunked writes, because
// the library's code path for large ones uses its buffer after freeing it: bytes of other
// responses could be lost or mixed in.
//
// It writes three kinds of responses itself, past the library: one with a status that has no registered
// text, for which the library sends 200; one to HEAD, to which the library adds a body; and one without a
// length to HTTP/1.0, to which the library adds the length of the part that is flushed first.
type response struct {
	res       *nbhttp.Response
	conn      *conn
	isHead    bool // the request is HEAD: the response has no body
	isHTTP10  bool // the caller knows no chunks
	buffered  int
	started   bool
	hasLength bool // the response has a Content-Length and is not chunked
	direct    bool // the head was written past the library
	chunked   bool // the body is written in chunks past the library
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.res.Header() }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if r.direct {
		return
	}
	if http.StatusText(status) != "" && !r.isHead && !r.endsWithConn() {
		r.res.WriteHeader(status)
		return
	}
	// A hijacked response is one that the library doesn't write; the connection stays its own.
	if _, _, err := r.res.Hijack(); err != nil {
		return
	}
	r.direct = true
	h := r.Header()
	r.hasLength = h.Get("Content-Length") != ""
	switch {
	case r.isHead:
	case r.hasLength:
		h.Del("Transfer-Encoding")
	case r.isHTTP10:
		h.Del("Transfer-Encoding")
		h.Set("Connection", "close")
		r.conn.dropPipelined() // a later response would belong to this one
		r.conn.mu.Lock()
		r.conn.endsResponse = true
		r.conn.mu.Unlock()
	default:
		h.Set("Transfer-Encoding", "chunked")
		r.chunked = true
	}
	if h.Get("Date") == "" {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&b) // writes to a bytes.Buffer do not fail
	b.WriteString("\r\n")
	_, _ = r.conn.write(b.Bytes()) // an error closes the connection
}

// endsWithConn reports whether only the end of the connection can end the response.
func (r *response) endsWithConn() bool {
	return r.isHTTP10 && !r.isHead && r.Header().Get("Content-Length") == ""
}

// writePieces writes a part of a body with a length. It waits while the caller takes none of it, so that
// the bytes are not queued beside the body that the handler holds.
func (r *response) writePieces(p []byte, write func(p []byte) (int, error)) (int, error) {
	written := 0
	for written < len(p) {
		piece := p[written:min(written+writePieceBytes, len(p))]
		if !r.conn.awaitRoom(int64(len(piece))) {
			return written, errSlowReader
		}
		n, err := write(piece)
		if err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// writeDirect writes a part of the body past the library.
func (r *response) writeDirect(p []byte) (int, error) {
	framed := p
	if r.chunked {
		framed = fmt.Appendf(nil, "%x\r\n%s\r\n", len(p), p)
	}
	if _, err := r.conn.write(framed); err != nil {
		return 0, err
	}
	return len(p), nil
}

// finish ends a response after its handler has returned.
func (r *response) finish() {
	if r.isHead {
		r.WriteHeader(http.StatusOK)
	}
	if r.chunked {
		_, _ = r.conn.write([]byte("0\r\n\r\n"))
	}
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	if r.isHead {
		r.WriteHeader(http.StatusOK)
		return len(p), nil
	}
	if len(p) == 0 {
		return 0, nil
	}
	if r.endsWithConn() {
		r.WriteHeader(http.StatusOK)
	}
	if r.direct {
		if r.hasLength {
			return r.writePieces(p, r.writeDirect)
		}
		return r.writeDirect(p)
	}
	if !r.started {
		r.started = true
		r.hasLength = r.Header().Get("Content-Length") != ""
	}
	if r.hasLength {
		return r.writePieces(p, r.res.Write)
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
	if r.endsWithConn() {
		r.WriteHeader(http.StatusOK)
	}
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
