package scheduler

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"gentiankeel/internal/orders"
	"gentiankeel/internal/respbuf"
	"gentiankeel/internal/upstream"
)

// invalidResponses are responses that are not valid HTTP/1.1; %s is the body that is due.
var invalidResponses = map[string]string{
	"blank in a name":        "HTTP/1.1 200 OK\r\nX Field: a\r\nConnection: close\r\n\r\n%s",
	"blank before the colon": "HTTP/1.1 200 OK\r\nX-Field : a\r\nConnection: close\r\n\r\n%s",
	"blank in front":         "HTTP/1.1 200 OK\r\n X-Field: a\r\nConnection: close\r\n\r\n%s",
	"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Field: a\r\nConnection: close\r\n\r\n%s",
	"line feeds alone":       "HTTP/1.1 200 OK\nConnection: close\n\n%s",
	"status 000":             "HTTP/1.1 000 OK\r\nConnection: close\r\n\r\n%s",
	"version 2.0":            "HTTP/2.0 200 OK\r\nConnection: close\r\n\r\n%s",
	"interim response":       "HTTP/1.1 103 \r\nX Field: a\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s",
	"chunks in version 1.0":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%s",
}

// Guards against orders and states that are taken from invalid responses.
func TestUpstreamResult_InvalidResponse(t *testing.T) {
	for name, response := range invalidResponses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				body := `{"id":"o1","incarnation":3}`
				_, _ = io.WriteString(conn, strings.Replace(response, "%s", body, 1))
			}))
			defer srv.Close()
			var log strings.Builder
			tm := newTerm(&Server{log: slog.New(slog.DiscardHandler), responses: respbuf.NewPool(maxHeldBytes), metrics: newMetrics(prometheus.NewRegistry()), opts: Options{
				OrderLife: 10 * time.Second, LeaseValid: func() (uint64, bool) { return 1, true }}}, 1)
			defer tm.cancel()
			tm.log = slog.New(slog.NewTextHandler(&log, nil))
			client := newSingleConnClient()
			defer client.CloseIdleConnections()
			address := strings.TrimPrefix(srv.URL, "http://")
			got := tm.sendOrder(client, orders.Send{Upstream: "u1", Address: address, Order: upstream.Order{ID: "o1"}, Timeout: 10 * time.Second})
			is.Equal(got, orders.SendFailed{Upstream: "u1", OrderID: "o1", MaybeDelivered: true})
			is.Equal(tm.readState(client, orders.ReadState{Upstream: "u1", Address: address}), orders.ReadFailed{Upstream: "u1"})
			is.Equal(strings.Count(log.String(), "upstream=u1"), 2)
			is.Equal(strings.Count(log.String(), "not valid HTTP/1.1"), 2)
		})
	}
}

// Guards against a state that comes with an invalid trailer.
func TestReadState_InvalidTrailer(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Sum: 1\r\n\r\n")
	}))
	defer srv.Close()
	client := newSingleConnClient()
	defer client.CloseIdleConnections()
	s := &Server{responses: respbuf.NewPool(maxHeldBytes)}
	var state upstream.State
	err := s.doJSON(context.Background(), client, http.MethodGet, strings.TrimPrefix(srv.URL, "http://")+upstream.PathState, nil, &state)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "not valid HTTP/1.1"))
}
