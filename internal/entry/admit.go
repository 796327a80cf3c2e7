package entry

import (
	"crypto/sha256"
	"encoding/hex"
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

// Headers that callers set.
const (
	headerCaller   = "X-Caller"
	headerKey      = "Idempotency-Key"
	headerReplayed = "Idempotent-Replayed"
	anonymous      = "anonymous"
	maxKeyBytes    = 255
	maxCallerBytes = 128
)

// identify returns who calls.
func (s *Server) identify(r *http.Request) (string, *errkind.Error) {
	if len(s.opts.Callers) == 0 {
		name := r.Header.Get(headerCaller)
		if name == "" {
			return anonymous, nil
		}
		return name, checkName(headerCaller, name, maxCallerBytes)
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	caller, ok := s.opts.Callers[token]
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return "", errkind.New(errkind.Unauthorized, "a known bearer token is needed")
	}
	return caller, nil
}

// checkName bounds a header that names something. Other bytes than printable ASCII
// could not be carried in the system's own messages.
func checkName(header, name string, longest int) *errkind.Error {
	if len(name) > longest || !isPrintable(name) {
		return errkind.New(errkind.BadRequest, "%s: must be 1 to %d printable ASCII characters", header, longest)
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

// headerError refuses header fields that could not be sent on.
func headerError(h http.Header) *errkind.Error {
	for k, vs := range h {
		for _, v := range vs {
			if !isPrintable(v) {
				return errkind.New(errkind.BadRequest, "%s: must hold printable ASCII characters only", k)
			}
		}
	}
	return nil
}

// admitted is what holds for every request that needs an upstream.
type admitted struct {
	view     *view.View
	body     []byte
	class    wire.Class
	deadline time.Time
}

// admit reads the body and checks the headers that all calls share.
func (q *request) admit() (*admitted, *errkind.Error) {
	v := q.s.opts.Config.Current()
	if !v.Fresh {
		return nil, errkind.New(errkind.StaleConfig, "this node was cut off; it holds index %d", v.Index)
	}
	body, err := io.ReadAll(q.r.Body)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "reading the body")
	}
	class, kerr := classOf(q.r.Header.Get(upstream.HeaderPriority))
	if kerr != nil {
		return nil, kerr
	}
	wait, kerr := deadlineOf(q.r.Header.Get(upstream.HeaderDeadline), v.Limits())
	if kerr != nil {
		return nil, kerr
	}
	return &admitted{view: v, body: body, class: class, deadline: q.entered.Add(wait)}, nil
}

func classOf(header string) (wire.Class, *errkind.Error) {
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

// deadlineOf returns the time that a request may take, within the applied limits.
func deadlineOf(header string, l *wire.Limits) (time.Duration, *errkind.Error) {
	longest := limit(l.GetMaxDeadlineMs(), DefaultMaxDeadline)
	if header == "" {
		return min(limit(l.GetDefaultDeadlineMs(), DefaultDeadline), longest), nil
	}
	ms, err := strconv.ParseUint(header, 10, 32)
	if err != nil || ms == 0 {
		return 0, errkind.New(errkind.BadRequest, "%s: must be a positive number of milliseconds", upstream.HeaderDeadline)
	}
	return min(time.Duration(ms)*time.Millisecond, longest), nil
}

func limit(ms uint32, def time.Duration) time.Duration {
	if ms == 0 {
		return def
	}
	return time.Duration(ms) * time.Millisecond
}

// bodyDigest is the hex SHA-256 of its parts, each ended by a zero byte but the last.
func bodyDigest(parts ...[]byte) string {
	h := sha256.New()
	for i, p := range parts {
		if i > 0 {
			h.Write([]byte{0})
		}
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// passedHeader picks the caller's header fields that upstreams get.
func passedHeader(r *http.Request, c wire.Class) http.Header {
	h := http.Header{}
	for _, k := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if v := r.Header.Get(k); v != "" {
			h.Set(k, v)
		}
	}
	h.Set(upstream.HeaderPriority, className(c))
	return h
}

// askFor builds the ask of one attempt.
func (s *Server) askFor(j *job, attempt string) *wire.Ask {
	left := max(j.deadline.Sub(s.opts.Now()), 0)
	return &wire.Ask{
		Attempt:      attempt,
		Request:      j.id,
		Caller:       j.caller,
		Class:        j.class,
		BodyDigest:   j.digest,
		DeadlineMs:   uint32(left.Milliseconds()),
		Model:        j.ask.GetModel(),
		Adapter:      j.ask.GetAdapter(),
		Service:      j.ask.GetService(),
		PromptTokens: j.ask.GetPromptTokens(),
		MaxTokens:    j.ask.GetMaxTokens(),
		PrefixHash:   j.ask.GetPrefixHash(),
	}
}

// giveBack returns a grant of which no byte was sent.
func (s *Server) giveBack(g *wire.Grant) {
	s.m.unused.Inc()
	s.opts.Slots.Release(&wire.Release{
		Attempt:     g.GetAttempt(),
		Outcome:     wire.Outcome_OUTCOME_UNUSED,
		Upstream:    g.GetUpstream(),
		Incarnation: g.GetIncarnation(),
	})
}
