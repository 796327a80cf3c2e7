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

// The outcomes. Each request has exactly one.
const (
	Whole   Outcome = "whole"   // the whole answer to this request
	Refused Outcome = "refused" // an answer that names an error kind
	Lost    Outcome = "lost"    // no final answer, or one cut off without a word
	Wrong   Outcome = "wrong"   // passed as whole, but not the answer to this request
	Unsent  Outcome = "unsent"  // not sent: the run was at its bound of open requests
)

// Result is what became of an arrival. Times count from its scheduled time, so that a
// slow system can't hide its delay by slowing the load down.
type Result struct {
	Arrival    *Arrival
	Outcome    Outcome
	Kind       string // error kind of a refusal
	Ran        string // what the refusal says: no, maybe or yes
	Detail     string // why it was lost or wrong
	Sends      int
	FirstToken time.Duration // to the first token; 0 when none came
	Total      time.Duration
	MaxGap     time.Duration // longest pause between two tokens
	Tokens     int
	BehindLong bool // a long request ran on its model when it came
	Late       bool // answered whole, but past its deadline
}

const (
	// answerSlack is added to a request's deadline before it counts as lost.
	answerSlack = 5 * time.Second
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// maxSends bounds how often a keyed request is sent.
	maxSends = 5
	// resendPause lies between two sends of a keyed request.
	resendPause = 250 * time.Millisecond
)

// client sends arrivals to the entries.
type client struct {
	http    *http.Client
	targets []string // host:port
	caller  string
	token   string // bearer token; may be empty
	// text returns the right answer to a prompt; nil leaves answers unchecked.
	text func(model, adapter, prompt string, tokens int) string
}

// problem is the part of an RFC 9457 body that is read.
type problem struct {
	Kind   string `json:"kind"`
	Ran    string `json:"ran"`
	Detail string `json:"detail"`
}

// send sends an arrival until it has a final answer. Only keyed requests are sent again:
// the key makes that safe, and callers are expected to do it.
func (c *client) send(ctx context.Context, a *Arrival, start time.Time) *Result {
	ctx, cancel := context.WithTimeout(ctx, a.Work.Deadline+answerSlack)
	defer cancel()
	r := &Result{Arrival: a}
	for hop, unreachable := a.Target, 0; ; hop++ {
		r.Outcome, r.Kind, r.Ran, r.Detail = "", "", "", ""
		err := c.once(ctx, r, c.targets[hop%len(c.targets)], start)
		if isDialError(err) && unreachable < len(c.targets)-1 {
			// A balancer does not send to an entry that takes no connection.
			unreachable++
			continue
		}
		r.Sends++
		again := a.Work.Keyed && (r.Outcome == Lost || r.Kind == "in_progress")
		if !again || r.Sends == maxSends || pause.For(ctx, resendPause) != nil {
			break
		}
	}
	r.Total = time.Since(start)
	r.Late = r.Outcome == Whole && r.Total > a.Work.Deadline
	return r
}

// isDialError tells that no byte of a request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// once sends one HTTP request and sets the result's outcome. It returns the error that
// left it without an answer's head.
func (c *client) once(ctx context.Context, r *Result, target string, start time.Time) error {
	req, err := c.request(ctx, r.Arrival, target)
	if err != nil {
		r.lost(err)
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.lost(err)
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode >= http.StatusBadRequest:
		r.refused(resp)
	case r.Arrival.Work.Service != "":
		c.readCall(r, resp.Body)
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

// prompt is unlike that of any other request, so that a crossed answer shows.
func prompt(a *Arrival) string {
	return fmt.Sprintf("%s for request %d at %s", a.Work.Name, a.Number, a.At)
}

// callBody is the body of a service call, unlike that of any other.
func callBody(a *Arrival) string {
	if a.Work.Method == http.MethodGet {
		return ""
	}
	return fmt.Sprintf(`{"job":%d,"work":%q}`, a.Number, a.Work.Name)
}

func (c *client) request(ctx context.Context, a *Arrival, target string) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/completions", ""
	if a.Work.Service != "" {
		method, path = a.Work.Method, "/v1/services/"+a.Work.Service+a.Work.Path
		body = callBody(a)
	} else {
		data, err := json.Marshal(completion{a.Name(), prompt(a), a.Tokens, true})
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
	req.Header.Set("X-Priority", a.Work.Class)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(a.Work.Deadline.Milliseconds(), 10))
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

func (r *Result) lost(err error) {
	r.Outcome = Lost
	r.Detail = err.Error()
}

// refused reads an error body. One that names no kind is no answer of the system's.
func (r *Result) refused(resp *http.Response) {
	var p problem
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil {
		err = json.Unmarshal(data, &p)
	}
	if err != nil || p.Kind == "" {
		r.Outcome = Lost
		r.Detail = fmt.Sprintf("status %d names no error kind", resp.StatusCode)
		return
	}
	r.Outcome, r.Kind, r.Ran, r.Detail = Refused, p.Kind, p.Ran, p.Detail
}

// echo is the part of a stand-in service's answer that is checked.
type echo struct {
	Key  string `json:"key"`
	Echo string `json:"echo"`
}

func (c *client) readCall(r *Result, body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		r.lost(err)
		return
	}
	r.Outcome = Whole
	if c.text == nil {
		return
	}
	var e echo
	if err := json.Unmarshal(data, &e); err != nil || e.Key != r.Arrival.Key || e.Echo != callBody(r.Arrival) {
		r.Outcome = Wrong
		r.Detail = fmt.Sprintf("the answer is not the one to call %d", r.Arrival.Number)
	}
}
