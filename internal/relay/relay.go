// Package relay carries TCP connections to upstreams through another entry, for an entry that has no
// path of its own to them. A connection is one gRPC stream between the two entries.
package relay

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// maxDataBytes is the maximum length of the data of one message.
const maxDataBytes = 16 << 10

// Errors of Dialer.Dial, to be compared with errors.Is.
var (
	// ErrNoPath means that the relay does not reach the upstream.
	ErrNoPath = errors.New("no path from the relay to the upstream")
	// ErrRefused means that the upstream's host refused the connection. It wraps syscall.ECONNREFUSED.
	ErrRefused = errors.WithMessage(syscall.ECONNREFUSED, "upstream behind the relay")
	// ErrRelayUnavailable means that the relay can't be reached or has no room for the connection. Reads
	// of an open connection return it, too, if the relay or the connection to it was lost.
	ErrRelayUnavailable = errors.New("relay unavailable")
)

// Codes with which a relay answers a failed dial and ends a connection. gRPC itself gives none of them,
// except codeNoRoom.
const (
	codeInvalidAddress = codes.InvalidArgument
	codeRefused        = codes.FailedPrecondition
	codeNoPath         = codes.NotFound
	codeNoRoom         = codes.ResourceExhausted
	codeReset          = codes.Aborted
)

// dialCode returns the code that tells the error of a dial.
func dialCode(err error) codes.Code {
	switch {
	case errors.Is(err, context.Canceled):
		return codes.Canceled
	case errors.Is(err, syscall.ECONNREFUSED):
		return codeRefused
	// The relay has run out of descriptors, memory or ports.
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS),
		errors.Is(err, syscall.ENOMEM), errors.Is(err, syscall.EADDRNOTAVAIL):
		return codeNoRoom
	default:
		return codeNoPath
	}
}

// dialError returns the error of Dialer.Dial for the error of a stream.
func dialError(err error) error {
	switch status.Code(err) {
	case codeInvalidAddress:
		return err
	case codeRefused:
		return &kindError{kind: ErrRefused, cause: err}
	case codeNoPath:
		return &kindError{kind: ErrNoPath, cause: err}
	default:
		return &kindError{kind: ErrRelayUnavailable, cause: err}
	}
}

// kindError is one of the errors above with its cause.
type kindError struct{ kind, cause error }

func (e *kindError) Error() string   { return e.kind.Error() + ": " + e.cause.Error() }
func (e *kindError) Unwrap() []error { return []error{e.kind, e.cause} }
