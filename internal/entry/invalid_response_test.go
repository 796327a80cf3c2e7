package entry

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// invalidHeads are heads of responses that are not valid HTTP/1.1, up to their last field; the response continues with its own
// fields.
var invalidHeads = map[string]string{
	"blank in a name":          "HTTP/1.1 200 OK\r\nX Field: value",
	"blank before the colon":   "HTTP/1.1 200 OK\r\nX-Field : value",
	"blank in front":           "HTTP/1.1 200 OK\r\n X-Field: value",
	"control byte in a name":   "HTTP/1.1 200 OK\r\nX\x01Field: value",
	"control byte in a value":  "HTTP/1.1 200 OK\r\nX-Field: \x01",
	"folded value":             "HTTP/1.1 200 OK\r\nX-Field: a\r\n b",
	"line feeds alone":         "HTTP/1.1 200 OK\nX-Field: a",
	"length with a blank":      "HTTP/1.1 200 OK\r\nContent-Length : 1",
	"length and chunks":        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked",
	"two equal lengths":        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1",
	"chunks in version 1.0":    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
	"status 000":               "HTTP/1.1 000 OK\r\nX-Field: a",
	"status 099":               "HTTP/1.1 099 OK\r\nX-Field: a",
	"status 600":               "HTTP/1.1 600 OK\r\nX-Field: a",
	"sign in a status":         "HTTP/1.1 +20 OK\r\nX-Field: a",
	"control byte in a reason": "HTTP/1.1 200 \x01\r\nX-Field: a",
	"version 2.0":              "HTTP/2.0 200 OK\r\nX-Field: a",
	"interim response":         "HTTP/1.1 103 \r\nX Field: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Field: a",
	"interim status 000":       "HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\nX-Field: a",
	"switch of protocols":      "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nX-Field: a",
	"refusal":                  "HTTP/1.1 503 \r\nX Field: a\r\n" + upstream.HeaderNotRun + ": true",
	"refusal, status 000":      "HTTP/1.1 000 \r\n" + upstream.HeaderNotRun + ": true",
}

// newRawUpstream returns an upstream that writes head, the fields that a response needs and body.
func newRawUpstream(t *testing.T, id, head, contentType, body string) *fakeUpstream {
	return newFakeUpstream(t, id, func(_ int, w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, head+"\r\n"+upstream.HeaderAttempt+": "+r.Header.Get(upstream.HeaderAttempt)+
			"\r\nContent-Type: "+contentType+"\r\n\r\n"+body)
	})
}

// Guards against invalid responses that callers get as answers, that are stored for resends, or that are believed in that the
// request did not run.
func TestInvalidResponse_NoAnswer(t *testing.T) {
	const plain, stream = `{"choices":[]}`, "data: [DONE]\n\n"
	for name, head := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, "u1", head, contentJSON, plain)
			streaming := newRawUpstream(t, "u1", head, contentStream, tokenEvents(2)+stream)
			h := newHarness(t, newFakeScheduler(u), func(o *Options) { o.MaxAttempts = 1 })
			for what, res := range map[string]httpResult{
				"completion": h.post(upstream.PathCompletions, jsonBody),
				"service":    h.roundTrip(h.newRequest(http.MethodGet, "/v1/services/lookup/stock/3", "")),
				"ledger":     h.callPrint("k1", `{"slip":1}`),
				"resent":     h.callPrint("k1", `{"slip":1}`),
				"stream":     newHarness(t, newFakeScheduler(streaming), func(o *Options) { o.MaxAttempts = 1 }).stream(),
			} {
				t.Run(what, func(t *testing.T) {
					h.is.Equal(res.status, http.StatusBadGateway)
					p := res.problem(t)
					h.is.True(p.Kind == errkind.UpstreamFailed || p.Kind == errkind.OutcomeUnknown)
					h.is.Equal(p.Ran, errkind.RanMaybe)
				})
			}
			h.is.Equal(u.callCount(), 3) // the resent call was not sent again
			h.is.Equal(h.ledger.status("k1"), wire.LedgerStatus_LEDGER_UNKNOWN)
		})
	}
}

func TestInvalidResponse_Trailer(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
	for name, trailer := range map[string]string{
		"blank in a name":         "0\r\nX Sum: 1\r\n\r\n",
		"control byte in a value": "0\r\nX-Sum: \x01\r\n\r\n",
		"folded value":            "0\r\nX-Sum: 1\r\n 2\r\n\r\n",
		"line feeds alone":        "0\r\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, "u1", chunked, contentJSON, "e\r\n{\"choices\":[]}\r\n"+trailer)
			h := newHarness(t, newFakeScheduler(u), func(o *Options) { o.MaxAttempts = 1 })
			h.is.Equal(h.post(upstream.PathCompletions, jsonBody).problem(t).Kind, errkind.UpstreamFailed)
			h.is.Equal(h.callPrint("k1", `{"slip":1}`).problem(t).Kind, errkind.OutcomeUnknown)
			h.is.Equal(h.metric("malformed_responses_total"), 2.0)
		})
	}
}

// An idempotent request goes on elsewhere, also after two invalid responses.
func TestInvalidResponse_GoesOnElsewhere(t *testing.T) {
	for name, head := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			u1 := newRawUpstream(t, "u1", head, contentStream, tokenEvents(2)+"data: [DONE]\n\n")
			u2 := newRawUpstream(t, "u2", head, contentStream, tokenEvents(2)+"data: [DONE]\n\n")
			u3 := newFakeUpstream(t, "u3", completeStream(6))
			h := newHarness(t, newFakeScheduler(u1, u2, u3), func(o *Options) { o.MaxAttempts = 3 })
			res := h.stream()
			h.is.Equal(res.status, http.StatusOK)
			h.is.Equal(res.body, tokenEvents(6)+"data: [DONE]\n\n")
			h.is.Equal([]int{u1.callCount(), u2.callCount(), u3.callCount()}, []int{1, 1, 1})
		})
	}
}

// Guards against net/http, which sends a request again on its own if a connection that was used before fails at the first byte
// of the response.
func TestInvalidResponse_NotSentAgainByTheTransport(t *testing.T) {
	for name, bytes := range map[string]string{
		"status line":        "HTTP/1.1 000 \r\n\r\n",
		"garbage":            "garbage\r\n",
		"line feed":          "\n",
		"line end":           "\r\n",
		"carriage return":    "\r\r\n",
		"control bytes only": "\x00\n",
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int32
			u := newFakeUpstream(t, "u1", func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 0 {
					w.Header().Set("Content-Type", contentJSON)
					_, _ = io.WriteString(w, `{"stock":1}`)
					served.Add(1)
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, bytes)
			})
			h := newHarness(t, newFakeScheduler(u), func(o *Options) { o.MaxAttempts = 1 })
			get := func() httpResult { return h.roundTrip(h.newRequest(http.MethodGet, "/v1/services/lookup/stock/3", "")) }
			h.is.Equal(get().status, http.StatusOK)
			h.is.Equal(get().status, http.StatusBadGateway)
			h.is.Equal(u.callCount(), 2)
		})
	}
}

func TestInvalidResponse_OddButValid(t *testing.T) {
	for name, head := range map[string]string{
		"token of all kinds": "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: value",
		"empty value":        "HTTP/1.1 200 OK\r\nX-Empty:",
		"high bytes":         "HTTP/1.1 200 gr\xfcn\r\nX-Field: \xff\x80\t\xfc",
		"no reason":          "HTTP/1.1 200\r\nX-Field: a",
		"empty reason":       "HTTP/1.1 200 \r\nX-Field: a",
		"interim response":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Field: a",
		"length":             "HTTP/1.1 200 OK\r\nContent-Length: 14",
	} {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, "u1", head, contentJSON, `{"choices":[]}`)
			h := newHarness(t, newFakeScheduler(u))
			h.is.Equal(h.post(upstream.PathCompletions, jsonBody).body, `{"choices":[]}`)
			h.is.Equal(h.callPrint("k1", `{"slip":1}`).status, http.StatusOK)
			h.is.True(strings.Contains(h.roundTrip(h.newRequest(http.MethodGet, "/v1/services/lookup/stock/3", "")).body, "choices"))
		})
	}
}

func TestHead_OnConnectionUsedAgain(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentJSON)
		w.Header().Set("Content-Length", "11")
		_, _ = io.WriteString(w, `{"stock":1}`)
	})
	h := newHarness(t, newFakeScheduler(u))
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodHead, http.MethodGet} {
		res := h.roundTrip(h.newRequest(method, "/v1/services/lookup/stock/3", ""))
		h.is.Equal(res.status, http.StatusOK)
	}
}
