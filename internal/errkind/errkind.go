// Package errkind defines the error kinds that callers can receive and the HTTP status,
// title and other defaults of each kind.
package errkind

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind is the reason for a refusal or a failure, as it appears in error responses.
type Kind string

// All kinds.
const (
	BadRequest         Kind = "bad_request"
	Unauthorized       Kind = "unauthorized"
	UnknownModel       Kind = "unknown_model"
	UnknownService     Kind = "unknown_service"
	NotFound           Kind = "not_found"
	MethodNotAllowed   Kind = "method_not_allowed"
	TooLarge           Kind = "too_large"
	SlowBody           Kind = "slow_body"
	KeyMissing         Kind = "idempotency_key_missing"
	KeyReused          Kind = "idempotency_key_reused"
	KeyExpired         Kind = "idempotency_key_expired"
	InProgress         Kind = "in_progress"
	OutcomeUnknown     Kind = "outcome_unknown"
	Quarantined        Kind = "quarantined"
	QueueFull          Kind = "queue_full"
	QuotaExceeded      Kind = "quota_exceeded"
	Overloaded         Kind = "overloaded"
	DeadlineUnmeetable Kind = "deadline_unmeetable"
	DeadlineExceeded   Kind = "deadline_exceeded"
	NoCapacity         Kind = "no_capacity"
	UpstreamRefused    Kind = "upstream_refused"
	UpstreamFailed     Kind = "upstream_failed"
	Interrupted        Kind = "interrupted"
	Draining           Kind = "draining"
	NoScheduler        Kind = "no_scheduler"
	ControlUnavailable Kind = "control_unavailable"
	StaleConfig        Kind = "stale_configuration"
	CallerGone         Kind = "caller_gone"
	Internal           Kind = "internal"
)

// Ran is whether a request without a complete response ran on an upstream.
type Ran string

// The values of Ran.
const (
	RanNo    Ran = "no"    // it did not run
	RanMaybe Ran = "maybe" // it may have run, partly or completely
	RanYes   Ran = "yes"   // it ran
)

// Response holds the parts of an error response that depend on the error's kind.
type Response struct {
	Status     int           // HTTP status
	Title      string        // short text, the same for every occurrence
	Ran        Ran           // default; Error.Ran overrides it
	RetryAfter time.Duration // default delay before a retry, which Error.RetryAfter overrides; 0: a retry does not help
}

// statusCallerGone is the status of a caller that disconnected, to whom nothing can be sent.
const statusCallerGone = 499

var responses = map[Kind]Response{
	BadRequest:         {http.StatusBadRequest, "The request is malformed", RanNo, 0},
	Unauthorized:       {http.StatusUnauthorized, "Credentials are missing or wrong", RanNo, 0},
	UnknownModel:       {http.StatusNotFound, "The applied file names no such model or adapter", RanNo, 0},
	UnknownService:     {http.StatusNotFound, "The applied file names no such service", RanNo, 0},
	NotFound:           {http.StatusNotFound, "There is no such endpoint", RanNo, 0},
	MethodNotAllowed:   {http.StatusMethodNotAllowed, "The endpoint does not take this method", RanNo, 0},
	TooLarge:           {http.StatusRequestEntityTooLarge, "The request is too large", RanNo, 0},
	SlowBody:           {http.StatusRequestTimeout, "The request body came too slowly", RanNo, time.Second},
	KeyMissing:         {http.StatusBadRequest, "This call needs an Idempotency-Key", RanNo, 0},
	KeyReused:          {http.StatusUnprocessableEntity, "The Idempotency-Key is held by another request", RanNo, 0},
	KeyExpired:         {http.StatusUnprocessableEntity, "The Idempotency-Key is past its window", RanNo, 0},
	InProgress:         {http.StatusConflict, "A call with this Idempotency-Key is in progress", RanMaybe, time.Second},
	OutcomeUnknown:     {http.StatusBadGateway, "The outcome of the call is unknown; it will not be sent again", RanMaybe, 0},
	Quarantined:        {http.StatusUnprocessableEntity, "The request was running when upstreams failed", RanNo, 0},
	QueueFull:          {http.StatusTooManyRequests, "The queue is full", RanNo, time.Second},
	QuotaExceeded:      {http.StatusTooManyRequests, "The quota of the organisation is used up", RanNo, time.Second},
	Overloaded:         {http.StatusServiceUnavailable, "Load is shed", RanNo, time.Second},
	DeadlineUnmeetable: {http.StatusServiceUnavailable, "The deadline can't be met", RanNo, 2 * time.Second},
	DeadlineExceeded:   {http.StatusGatewayTimeout, "The deadline has passed", RanMaybe, time.Second},
	NoCapacity:         {http.StatusServiceUnavailable, "No upstream can hold the model", RanNo, 5 * time.Second},
	UpstreamRefused:    {http.StatusServiceUnavailable, "The upstream refused the request", RanNo, time.Second},
	UpstreamFailed:     {http.StatusBadGateway, "The upstream failed", RanMaybe, time.Second},
	Interrupted:        {http.StatusBadGateway, "The answer was interrupted", RanMaybe, time.Second},
	Draining:           {http.StatusServiceUnavailable, "This node is shutting down", RanNo, time.Second},
	NoScheduler:        {http.StatusServiceUnavailable, "No scheduler holds the cell", RanNo, time.Second},
	ControlUnavailable: {http.StatusServiceUnavailable, "The control group can't be reached", RanNo, time.Second},
	StaleConfig:        {http.StatusServiceUnavailable, "This node's configuration is too old to act on", RanNo, time.Second},
	CallerGone:         {statusCallerGone, "The caller left", RanMaybe, 0},
	Internal:           {http.StatusInternalServerError, "Internal error", RanMaybe, 0},
}

// Kinds returns all kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}

// ResponseOf returns the response parts of a kind, and those of Internal for an unknown kind.
func ResponseOf(k Kind) Response {
	r, ok := responses[k]
	if !ok {
		return responses[Internal]
	}
	return r
}

// Error is an error with a kind. If Ran or RetryAfter is zero, the default of the kind
// applies.
type Error struct {
	Kind       Kind
	Detail     string
	Ran        Ran
	RetryAfter time.Duration
	Cause      error
}

// New returns an error of kind k with a formatted detail.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k with a cause and a formatted detail.
func Wrap(k Kind, cause error, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// WithRan returns a copy of the error with another value of Ran.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.Ran = r
	return &c
}

// WithRetryAfter returns a copy of the error with another retry delay.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response returns the response parts of the error's kind, with the error's own Ran and
// RetryAfter where they are set.
func (e *Error) Response() Response {
	r := ResponseOf(e.Kind)
	if e.Ran != "" {
		r.Ran = e.Ran
	}
	if e.RetryAfter > 0 {
		r.RetryAfter = e.RetryAfter
	}
	return r
}

// From returns the Error in err's chain. If there is none, as for a nil err, it wraps err
// in an Error of kind Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unexpected error")
}
