package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/pause"
)

// Outcome is the final answer of a request.
type Outcome string

// The outcomes of a request, which are mutually exclusive.
const (
	OutcomeWhole   Outcome = "whole"   // a complete answer to this request
	OutcomeRefused Outcome = "refused" // an error answer with an error kind
	OutcomeLost    Outcome = "lost"    // no final answer, or one cut off without an error
	OutcomeWrong   Outcome = "wrong"   // a complete answer, but not to this request
	OutcomeUnsent  Outcome = "unsent"  // not sent: the run had too many open requests, or ended
)

// Result is the outcome of an arrival. Times are measured from its scheduled time, which
// avoids coordinated omission: a slow system can't hide its delay by slowing the load.
type Result struct {
	Arrival    *Arrival
	Outcome    Outcome
	Kind       string // error kind, if refused
	Ran        string // no, maybe or yes, if refused
	Detail     string // why the request was not answered completely
	SendCount  int
	FirstToken time.Duration // 0: no token arrived
	Total      time.Duration
	MaxGap     time.Duration // longest time between two tokens
	Tokens     int
	BehindLong bool // a long request was open on its model at its arrival
	Late       bool // complete, but past its deadline
}

const (
	// deadlineGrace is the time after a request's deadline until it counts as lost.
	deadlineGrace = 5 * time.Second
	// maxBodyBytes bounds the body of an answer that is not a stream.
	maxBodyBytes = 16 << 20
	// maxSends bounds how often a keyed request is sent.
	maxSends = 5
	// resendDelay is the delay between two sends of a keyed request.
	resendDelay = 250 * time.Millisecond
)

// client sends requests to the entries.
type client struct {
	http    *http.Client
	targets []string // host:port of the entries
	caller  string   // empty: not named
	token   string   // bearer token; empty: none
	// expectedText returns the correct answer to a prompt; nil disables the check.
	expectedText func(model, adapter, prompt string, tokens int) string
}

// problem holds the fields of an RFC 9457 problem body that are read.
type problem struct {
	Kind   string `json:"kind"`
	Ran    string `json:"ran"`
	Detail string `json:"detail"`
}

// send sends the request of an arrival and resends it while it has no final answer.
// Only keyed requests are resent: the key makes that safe, and callers are expected to
// do so.
func (c *client) send(ctx context.Context, a *Arrival, start time.Time) *Result {
	ctx, cancel := context.WithTimeout(ctx, a.Workload.Deadline+deadlineGrace)
	defer cancel()
	r := &Result{Arrival: a}
	for target, unreachable := a.Target, 0; ; target++ {
		r.Outcome, r.Kind, r.Ran, r.Detail = "", "", "", ""
		err := c.sendOnce(ctx, r, c.targets[target%len(c.targets)], start)
		if isDialError(err) && unreachable < len(c.targets)-1 {
			// A load balancer skips an entry that accepts no connection.
			unreachable++
			continue
		}
		r.SendCount++
		resend := a.Workload.Keyed && (r.Outcome == OutcomeLost || r.Kind == "in_progress")
		if !resend || r.SendCount == maxSends || pause.For(ctx, resendDelay) != nil {
			break
		}
	}
	r.Total = time.Since(start)
	r.Late = r.Outcome == OutcomeWhole && r.Total > a.Workload.Deadline
	return r
}

// isDialError reports whether err means that no byte of the request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// sendOnce sends one HTTP request and sets the result's outcome. It returns an error only
// if no response header arrived.
func (c *client) sendOnce(ctx context.Context, r *Result, target string, start time.Time) error {
	req, err := c.newRequest(ctx, r.Arrival, target)
	if err != nil {
		r.setLost(err)
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.setLost(err)
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode >= http.StatusBadRequest:
		r.readRefusal(resp)
	case r.Arrival.Workload.Service != "":
		c.readServiceAnswer(r, resp.Body)
	default:
		c.readStream(r, resp.Body, start)
	}
	return nil
}

// completion is the body of a generation request.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// promptFor returns a prompt that is unique in the run, so that an answer to another
// request is detected.
func promptFor(a *Arrival) string {
	return fmt.Sprintf("%s for request %d at %s", a.Workload.Name, a.Number, a.At)
}

// serviceBody returns the body of a service call, unique in the run unless it is a GET.
func serviceBody(a *Arrival) string {
	if a.Workload.Method == http.MethodGet {
		return ""
	}
	return fmt.Sprintf(`{"job":%d,"work":%q}`, a.Number, a.Workload.Name)
}

// newRequest returns the HTTP request of an arrival.
func (c *client) newRequest(ctx context.Context, a *Arrival, target string) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/completions", ""
	if a.Workload.Service != "" {
		method, path = a.Workload.Method, "/v1/services/"+a.Workload.Service+a.Workload.Path
		body = serviceBody(a)
	} else {
		data, err := json.Marshal(completion{a.ModelName(), promptFor(a), a.Tokens, true})
		if err != nil {
			return nil, err
		}
		body = string(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, bytes.NewBufferString(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Priority", a.Workload.Class)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(a.Workload.Deadline.Milliseconds(), 10))
	if c.caller != "" {
		req.Header.Set("X-Caller", c.caller)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if a.Key != "" {
		req.Header.Set("Idempotency-Key", a.Key)
	}
	return req, nil
}

func (r *Result) setLost(err error) {
	r.Outcome = OutcomeLost
	r.Detail = err.Error()
}

// readRefusal reads an error body. Without an error kind it does not come from the
// system, and the request counts as lost.
func (r *Result) readRefusal(resp *http.Response) {
	var p problem
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, &p)
	}
	if err != nil || p.Kind == "" {
		r.Outcome = OutcomeLost
		r.Detail = fmt.Sprintf("status %d names no error kind", resp.StatusCode)
		return
	}
	r.Outcome, r.Kind, r.Ran, r.Detail = OutcomeRefused, p.Kind, p.Ran, p.Detail
}

// serviceEcho holds the fields of a stand-in service's answer that are checked.
type serviceEcho struct {
	Key  string `json:"key"`
	Echo string `json:"echo"`
}

// readServiceAnswer reads a service's answer and, if checks are enabled, compares it with
// the call.
func (c *client) readServiceAnswer(r *Result, body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		r.setLost(err)
		return
	}
	r.Outcome = OutcomeWhole
	if c.expectedText == nil {
		return
	}
	var e serviceEcho
	if err := json.Unmarshal(data, &e); err != nil || e.Key != r.Arrival.Key || e.Echo != serviceBody(r.Arrival) {
		r.Outcome = OutcomeWrong
		r.Detail = fmt.Sprintf("the answer is not the one to call %d", r.Arrival.Number)
	}
}
