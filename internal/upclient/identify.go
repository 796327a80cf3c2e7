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
	// minAskAgainTimeout is the least time in which a process is waited for that is asked once more. It is taken from the
	// caller's time if the upstream serves one connection after the other.
	minAskAgainTimeout = 25 * time.Millisecond
	// maxProcessDials bounds the connections to an address at which another process answers each time.
	maxProcessDials = 3
	// maxIdentityBytes bounds the body of the response.
	maxIdentityBytes = 64 << 10
)

// identified returns a connection whose process may get the call: the one given, or a new one if that closes.
func (p *Pool) identified(ctx context.Context, c *conn, call *Call) (*conn, error) {
	if !c.isAsked {
		asked := time.Now()
		err := c.askIdentity(ctx, p, call.Identify)
		if err != nil {
			c.Close()
		}
		if errors.Is(err, errClosesConnection) {
			again := *call.Identify
			again.Timeout = min(max(2*time.Since(asked), minAskAgainTimeout), DefaultIdentifyTimeout)
			c, err = p.dialProcess(ctx, call.Address, &again, c.bornUnixMs)
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
// has served the address all along: an ended process does not come back. A process that does not answer again, since it
// takes no further connection, is taken to be the same: none restarts within a round trip, unless the next one listens already.
func (p *Pool) dialProcess(ctx context.Context, addr string, id *Identify, bornUnixMs int64) (*conn, error) {
	for range maxProcessDials {
		c, err := p.dialAsked(ctx, addr, bornUnixMs)
		if err != nil || bornUnixMs == 0 {
			return c, err
		}
		again, err := p.dialAndAsk(ctx, addr, id)
		switch {
		case err == nil: // it stays open
			c.Close()
			return again, nil
		case ctx.Err() != nil, errors.Is(err, ErrMisdirected):
			c.Close()
			return nil, err
		case errors.Is(err, errClosesConnection) && again.bornUnixMs != bornUnixMs:
			c.Close()
			if again.bornUnixMs == 0 {
				return nil, ErrNotIdentified
			}
			bornUnixMs = again.bornUnixMs
		case c.reusable():
			return c, nil
		default: // the upstream closes a waiting connection when another one comes
			c.Close()
			return p.dialAsked(ctx, addr, bornUnixMs)
		}
	}
	return nil, ErrNotIdentified
}

// dialAsked opens a connection to a process that has told its start on another one, or that it doesn't tell.
func (p *Pool) dialAsked(ctx context.Context, addr string, bornUnixMs int64) (*conn, error) {
	c, err := p.dial(ctx, addr)
	if err == nil {
		c.isAsked, c.bornUnixMs = true, bornUnixMs
	}
	return c, err
}

// dialAndAsk asks the process at an address on a new connection, which it closes after an error. With errClosesConnection it
// returns the connection too, for what the process told.
func (p *Pool) dialAndAsk(ctx context.Context, addr string, id *Identify) (*conn, error) {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if err = c.askIdentity(ctx, p, id); err != nil {
		c.Close()
	}
	return c, err
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
