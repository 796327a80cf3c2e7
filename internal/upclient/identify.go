package upclient

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Identify finds out which process a connection leads to. A connection leads to one process for all its life, so that
// it is asked once.
type Identify struct {
	Request *http.Request // without a body; it has no side effects
	// Parse reads the start of the process, in Unix ms, from the body of a response with status 200.
	Parse func(body []byte) (bornUnixMs int64, err error)
	// Admit reports whether the call may be sent to a process.
	Admit func(bornUnixMs int64) bool
}

// ErrOtherProcess is the error of a call that Identify.Admit kept from the process at the address.
var ErrOtherProcess = errors.New("another process serves the upstream's address")

// ErrNotIdentified is the error of a call to a process that did not say which one it is.
var ErrNotIdentified = errors.New("the upstream did not tell the start of its process")

// errMisdirected is the error of the question if a process with another id answers it.
var errMisdirected = errors.New("the process at the address is not the upstream's")

const (
	// identifyTimeout bounds the wait for the response; like the setup of a connection, it takes one round trip.
	identifyTimeout = DefaultDialTimeout
	// maxIdentityBytes bounds the body of the response.
	maxIdentityBytes = 64 << 10
)

// identify asks the process on the connection, unless it has said so before, and reports whether the call may be sent
// there. After an error the connection must be closed.
func (c *conn) identify(ctx context.Context, p *Pool, id *Identify) error {
	if c.bornUnixMs == 0 {
		born, err := c.askIdentity(ctx, p, id)
		if err != nil {
			return errors.Wrap(ErrNotIdentified, err.Error())
		}
		c.bornUnixMs = born
	}
	if !id.Admit(c.bornUnixMs) {
		return ErrOtherProcess
	}
	return nil
}

func (c *conn) askIdentity(ctx context.Context, p *Pool, id *Identify) (bornUnixMs int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	x := &exchange{pool: p, conn: c, call: &Call{Request: id.Request}, isFirst: !c.isUsed, finished: true} // the connection stays with the caller
	c.noteCall("")
	res, err := x.roundTrip()
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxIdentityBytes+1))
	switch {
	case err != nil:
		return 0, errors.Wrap(err, "reading the response")
	case len(body) > maxIdentityBytes:
		return 0, errors.New("the response is too long")
	case res.StatusCode == http.StatusMisdirectedRequest:
		return 0, errMisdirected
	case res.StatusCode != http.StatusOK:
		return 0, errors.Errorf("status %d", res.StatusCode)
	case res.Close || x.mismatched || c.br.Buffered() > 0 || !stop():
		return 0, errors.New("the connection can't be used further")
	}
	return id.Parse(body)
}
