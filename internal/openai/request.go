// Package openai decodes the subset of the OpenAI HTTP interface that client
// libraries speak: completions and chat completions. Fields that it does not name
// are left to the upstream, which gets the body as the caller sent it.
package openai

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Bounds of request fields.
const (
	MaxNameBytes   = 256     // of a model name with its adapter
	MaxTokens      = 1 << 20 // of max_tokens
	MaxMessages    = 4096
	maxTemperature = 2.0
	bytesPerToken  = 4 // rough estimate of a prompt's length
)

// Endpoint tells the two generation calls apart.
type Endpoint int

// The generation calls.
const (
	Completions Endpoint = iota
	ChatCompletions
)

// Request is a decoded generation request.
type Request struct {
	Model        string
	Adapter      string // empty: the model itself
	Stream       bool
	IncludeUsage bool
	MaxTokens    int    // asked length in tokens; 0 when the caller named none
	PromptTokens int    // estimate
	User         string // the caller's own mark
	// Prompt is the text that the upstream generates from, as far as it is text.
	Prompt string
}

// FieldError says which field of the request body is wrong.
type FieldError struct {
	Field  string // JSON path; empty for the body as a whole
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

// body holds the top-level fields. A struct would match their names without regard to
// case: the entry could then check another field than the upstream reads.
type body map[string]json.RawMessage

type message struct {
	Role    *string         `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Decode checks a request body. Its errors are *FieldError.
func Decode(e Endpoint, data []byte) (*Request, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, &FieldError{"", "the body is not a JSON object: " + err.Error()}
	}
	r := &Request{}
	for _, step := range []func(*Request) error{b.model, b.stream, b.length, b.numbers} {
		if err := step(r); err != nil {
			return nil, err
		}
	}
	text, err := b.text(e)
	if err != nil {
		return nil, err
	}
	r.Prompt = text
	r.PromptTokens = len(text)/bytesPerToken + 1
	return r, nil
}

// field decodes one field; found is false when it is absent or null.
func field[T any](b body, name string) (v T, found bool, err error) {
	if isNull(b[name]) {
		return v, false, nil
	}
	if err := json.Unmarshal(b[name], &v); err != nil {
		return v, false, &FieldError{name, fmt.Sprintf("must be a %s", typeName(v))}
	}
	return v, true, nil
}

// typeName is the JSON name of a field's type.
func typeName(v any) string {
	switch v.(type) {
	case string:
		return "string"
	case bool:
		return "boolean"
	case int:
		return "whole number"
	case float64:
		return "number"
	default:
		return "JSON value of the documented shape"
	}
}

func (b body) model(r *Request) error {
	name, _, err := field[string](b, "model")
	switch {
	case err != nil:
		return err
	case name == "":
		return &FieldError{"model", "is required"}
	case len(name) > MaxNameBytes:
		return &FieldError{"model", fmt.Sprintf("is longer than %d bytes", MaxNameBytes)}
	}
	model, adapter, found := strings.Cut(name, ":")
	if model == "" || found && adapter == "" {
		return &FieldError{"model", `must be "model" or "model:adapter"`}
	}
	r.Model, r.Adapter = model, adapter
	return nil
}

func (b body) stream(r *Request) (err error) {
	if r.Stream, _, err = field[bool](b, "stream"); err != nil {
		return err
	}
	options, found, err := field[body](b, "stream_options")
	if err != nil || !found {
		return err
	}
	if !r.Stream {
		return &FieldError{"stream_options", "is allowed only when stream is true"}
	}
	r.IncludeUsage, _, err = field[bool](options, "include_usage")
	return err
}

func (b body) length(r *Request) error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		n, found, err := field[int](b, name)
		if err != nil {
			return err
		}
		if !found {
			continue
		}
		if n < 1 || n > MaxTokens {
			return &FieldError{name, fmt.Sprintf("must lie between 1 and %d", MaxTokens)}
		}
		r.MaxTokens = n
	}
	return nil
}

func (b body) numbers(r *Request) error {
	t, _, err := field[float64](b, "temperature")
	if err != nil {
		return err
	}
	if t < 0 || t > maxTemperature {
		return &FieldError{"temperature", "must lie between 0 and 2"}
	}
	// Several choices would share one stream, whose token positions then mean nothing.
	n, found, err := field[int](b, "n")
	if err != nil {
		return err
	}
	if found && n != 1 {
		return &FieldError{"n", "must be 1"}
	}
	r.User, _, err = field[string](b, "user")
	return err
}

func (b body) text(e Endpoint) (string, error) {
	if e == Completions {
		return b.promptText()
	}
	return b.messageText()
}

func (b body) promptText() (string, error) {
	if !isNull(b["messages"]) {
		return "", &FieldError{"messages", "belongs to chat completions"}
	}
	s, found, err := field[string](b, "prompt")
	if err == nil && !found {
		err = &FieldError{"prompt", "is required"}
	}
	return s, err
}

func (b body) messageText() (string, error) {
	if !isNull(b["prompt"]) {
		return "", &FieldError{"prompt", "belongs to completions"}
	}
	messages, _, err := field[[]message](b, "messages")
	if err != nil {
		return "", err
	}
	if len(messages) == 0 || len(messages) > MaxMessages {
		return "", &FieldError{"messages", fmt.Sprintf("must hold 1 to %d messages", MaxMessages)}
	}
	var text strings.Builder
	for i, m := range messages {
		if m.Role == nil || *m.Role == "" {
			return "", &FieldError{fmt.Sprintf("messages[%d].role", i), "is required"}
		}
		s, ok := contentText(m.Content)
		if !ok {
			return "", &FieldError{fmt.Sprintf("messages[%d].content", i), "must be a string or a list of parts"}
		}
		fmt.Fprintf(&text, "%s: %s\n", *m.Role, s)
	}
	return text.String(), nil
}

// contentText takes a string, a list of parts, or null as in a tool call.
func contentText(raw json.RawMessage) (string, bool) {
	if isNull(raw) {
		return "", true
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s, true
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	for _, p := range parts {
		s += p.Text
	}
	return s, true
}

func isNull(raw json.RawMessage) bool {
	return len(raw) == 0 || string(raw) == "null"
}
