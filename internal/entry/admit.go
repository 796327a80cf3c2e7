package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/view"
	"gentiankeel/internal/wire"
)

// Headers of callers' requests and of the responses to them, with their limits.
const (
	headerCaller    = "X-Caller"
	headerKey       = "Idempotency-Key"
	headerReplayed  = "Idempotent-Replayed"
	anonymousCaller = "anonymous" // name of a caller without X-Caller
	maxKeyBytes     = 255
	maxCallerBytes  = 128
)

// identifyCaller returns the name of the caller: from its bearer token if tokens are
// configured, otherwise from X-Caller.
func (s *Server) identifyCaller(r *http.Request) (string, *errkind.Error) {
	if len(s.opts.Callers) == 0 {
		name := r.Header.Get(headerCaller)
		if name == "" {
			return anonymousCaller, nil
		}
		return name, checkNameHeader(headerCaller, name, maxCallerBytes)
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	caller, ok := s.opts.Callers[token]
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return "", errkind.New(errkind.Unauthorized, "a known bearer token is needed")
	}
	return caller, nil
}

// checkNameHeader validates a header whose value becomes part of internal messages,
// which carry printable ASCII only.
func checkNameHeader(header, value string, maxBytes int) *errkind.Error {
	if len(value) > maxBytes || !isPrintable(value) {
		return errkind.New(errkind.BadRequest, "%s: must be 1 to %d printable ASCII characters", header, maxBytes)
	}
	return nil
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// checkHeaders refuses header fields that can't be forwarded to an upstream.
func checkHeaders(h http.Header) *errkind.Error {
	for k, vs := range h {
		for _, v := range vs {
			if !isPrintable(v) {
				return errkind.New(errkind.BadRequest, "%s: must hold printable ASCII characters only", k)
			}
		}
	}
	return nil
}

// admission holds what all requests that need an upstream have in common.
type admission struct {
	config   *view.View
	body     []byte
	class    wire.Class
	deadline time.Time
}

// admit reads the body and validates the headers that all calls share.
func (q *request) admit() (*admission, *errkind.Error) {
	config := q.s.opts.Config.Current()
	if !config.Fresh {
		return nil, errkind.New(errkind.StaleConfig, "this node was cut off; it holds index %d", config.Index)
	}
	body, err := io.ReadAll(q.r.Body)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "reading the body")
	}
	class, kerr := parseClass(q.r.Header.Get(upstream.HeaderPriority))
	if kerr != nil {
		return nil, kerr
	}
	timeout, kerr := parseDeadline(q.r.Header.Get(upstream.HeaderDeadline), config.Limits())
	if kerr != nil {
		return nil, kerr
	}
	return &admission{config: config, body: body, class: class, deadline: q.entered.Add(timeout)}, nil
}

func parseClass(header string) (wire.Class, *errkind.Error) {
	switch header {
	case "interactive":
		return wire.Class_CLASS_INTERACTIVE, nil
	case "", "normal":
		return wire.Class_CLASS_NORMAL, nil
	case "batch":
		return wire.Class_CLASS_BATCH, nil
	}
	return 0, errkind.New(errkind.BadRequest, "%s: must be interactive, normal or batch", upstream.HeaderPriority)
}

func className(c wire.Class) string {
	switch c {
	case wire.Class_CLASS_INTERACTIVE:
		return "interactive"
	case wire.Class_CLASS_BATCH:
		return "batch"
	default:
		return "normal"
	}
}

// parseDeadline returns the time that a request may take, capped by the applied limits.
func parseDeadline(header string, limits *wire.Limits) (time.Duration, *errkind.Error) {
	maxDeadline := millisOr(limits.GetMaxDeadlineMs(), DefaultMaxDeadline)
	if header == "" {
		return min(millisOr(limits.GetDefaultDeadlineMs(), DefaultDeadline), maxDeadline), nil
	}
	ms, err := strconv.ParseUint(header, 10, 32)
	if err != nil || ms == 0 {
		return 0, errkind.New(errkind.BadRequest, "%s: must be a positive number of milliseconds", upstream.HeaderDeadline)
	}
	return min(time.Duration(ms)*time.Millisecond, maxDeadline), nil
}

// millisOr converts ms to a duration; 0 gives the default.
func millisOr(ms uint32, defaultValue time.Duration) time.Duration {
	if ms == 0 {
		return defaultValue
	}
	return time.Duration(ms) * time.Millisecond
}

// forwardedHeader returns the header fields of the caller that upstreams receive.
func forwardedHeader(r *http.Request, c wire.Class) http.Header {
	h := http.Header{}
	for _, k := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if v := r.Header.Get(k); v != "" {
			h.Set(k, v)
		}
	}
	h.Set(upstream.HeaderPriority, className(c))
	return h
}

// newAsk returns the slot request of one attempt.
func (s *Server) newAsk(j *job, attemptID string) *wire.Ask {
	remaining := max(j.deadline.Sub(s.opts.Now()), 0)
	return &wire.Ask{
		Attempt:      attemptID,
		Request:      j.id,
		Caller:       j.caller,
		Class:        j.class,
		BodyDigest:   j.digest,
		DeadlineMs:   uint32(remaining.Milliseconds()),
		Model:        j.ask.GetModel(),
		Adapter:      j.ask.GetAdapter(),
		Service:      j.ask.GetService(),
		PromptTokens: j.ask.GetPromptTokens(),
		MaxTokens:    j.ask.GetMaxTokens(),
		PrefixHash:   j.ask.GetPrefixHash(),
	}
}

// releaseUnused releases a grant under which no byte was sent.
func (s *Server) releaseUnused(g *wire.Grant) {
	s.m.unusedGrants.Inc()
	s.opts.Scheduler.Release(&wire.Release{
		Attempt:     g.GetAttempt(),
		Outcome:     wire.Outcome_OUTCOME_UNUSED,
		Upstream:    g.GetUpstream(),
		Incarnation: g.GetIncarnation(),
	})
}
