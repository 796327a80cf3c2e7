package upclient

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Identify finds out which process a connection leads to. A connection leads to one process for all its life, so that
// it is asked once.
type Identify struct {
	Request *http.Request // without a body; it has no side effects
	// Parse reads the start of the process, in Unix ms, from the body of a response with status 200. A process whose
	// response has another status or can't be read does not tell.
	Parse func(body []byte) (bornUnixMs int64, err error)
	// Admit reports whether a call may be sent to a process; 0: it does not tell which one it is. Pool.HasEnded does not
	// use it.
	Admit   func(bornUnixMs int64) bool
	Timeout time.Duration // 0: DefaultIdentifyTimeout
}

var (
	// ErrOtherProcess is the error of a call that Identify.Admit kept from the process at the address.
	ErrOtherProcess = errors.New("another process serves the upstream's address")
	// ErrNotIdentified is the error of a call to a process that did not answer in time which one it is.
	ErrNotIdentified = errors.New("the upstream did not tell the start of its process in time")

	// ErrMisdirected is the error of the question if another upstream answers it.
	ErrMisdirected      = errors.New("another upstream serves the address")
	errClosesConnection = errors.New("the connection ends with the response")
)

const (
	// DefaultIdentifyTimeout bounds the wait for the response; like the setup of a connection, it takes one round trip.
	DefaultIdentifyTimeout = DefaultDialTimeout
	// maxProcessDials bounds the connections to an address at which another process answers each time.
	maxProcessDials = 3
	// maxIdentityBytes bounds the body of the response.
	maxIdentityBytes = 64 << 10
)

// identified returns a connection whose process may get the call: the one given, or a new one if that closes.
func (p *Pool) identified(ctx context.Context, c *conn, call *Call) (*conn, error) {
	if !c.isAsked {
		err := c.askIdentity(ctx, p, call.Identify)
		if err != nil {
			c.Close()
		}
		if errors.Is(err, errClosesConnection) {
			c, err = p.dialProcess(ctx, call, c.bornUnixMs)
		}
		if err != nil {
			return nil, err
		}
	}
	if !call.Identify.Admit(c.bornUnixMs) {
		c.Close()
		return nil, ErrOtherProcess
	}
	return c, nil
}

// dialProcess opens a connection to the process at an address that closes its connections after it was asked; bornUnixMs is
// what it told just before, 0 if it doesn't tell. Asked once more, on another connection, the same process shows that it
// has served the address all along: an ended process does not come back.
func (p *Pool) dialProcess(ctx context.Context, call *Call, bornUnixMs int64) (*conn, error) {
	for range maxProcessDials {
		c, err := p.dial(ctx, call.Address)
		if err != nil {
			return nil, err
		}
		c.isAsked, c.bornUnixMs = true, bornUnixMs
		if bornUnixMs == 0 {
			return c, nil
		}
		asked, err := p.dial(ctx, call.Address)
		if err != nil {
			c.Close()
			return nil, err
		}
		switch err = asked.askIdentity(ctx, p, call.Identify); {
		case err == nil: // it stays open
			c.Close()
			return asked, nil
		case !errors.Is(err, errClosesConnection):
			asked.Close()
			c.Close()
			return nil, err
		}
		asked.Close()
		if asked.bornUnixMs == bornUnixMs {
			return c, nil
		}
		c.Close()
		bornUnixMs = asked.bornUnixMs
	}
	return nil, ErrNotIdentified
}

// askIdentity asks the process on the connection which one it is. After an error the connection must be closed.
func (c *conn) askIdentity(ctx context.Context, p *Pool, id *Identify) error {
	timeout := cmp.Or(id.Timeout, DefaultIdentifyTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	wasUsed := c.isUsed
	x := &exchange{pool: p, conn: c, call: &Call{Request: id.Request}, isFirst: !wasUsed, finished: true} // the connection stays with the caller
	c.noteCall("")
	res, err := x.roundTrip()
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(res.Body, maxIdentityBytes+1))
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ErrNotIdentified
	case err != nil:
		return errors.Wrap(err, "asking for the process")
	}
	if res.StatusCode == http.StatusMisdirectedRequest {
		return ErrMisdirected
	}
	if res.StatusCode == http.StatusOK && len(body) <= maxIdentityBytes {
		c.bornUnixMs, err = id.Parse(body)
	}
	if err != nil {
		c.bornUnixMs = 0
	}
	if res.Close || x.mismatched || len(body) > maxIdentityBytes || c.br.Buffered() > 0 || !stop() {
		return errClosesConnection
	}
	c.isAsked, c.isUsed = true, wasUsed
	return nil
}
