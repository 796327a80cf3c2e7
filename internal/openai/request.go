// Package openai decodes the subset of the OpenAI HTTP interface that client
// libraries speak: completions and chat completions. Fields that it does not name
// are left to the upstream, which gets the body as the caller sent it.
package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
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

type body struct {
	Model               *string         `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              *bool           `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Temperature         *float64        `json:"temperature"`
	User                *string         `json:"user"`
	N                   *int            `json:"n"`
}

type streamOptions struct {
	IncludeUsage *bool `json:"include_usage"`
}

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
	if err := unmarshal(data, &b); err != nil {
		return nil, err
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

func unmarshal(data []byte, b *body) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	err := dec.Decode(b)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &FieldError{typeErr.Field, fmt.Sprintf("must not be a JSON %s", typeErr.Value)}
	}
	if err != nil {
		return &FieldError{"", "the body is not a JSON object: " + err.Error()}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{"", "the body holds more than one JSON value"}
	}
	return nil
}

func (b *body) model(r *Request) error {
	switch {
	case b.Model == nil || *b.Model == "":
		return &FieldError{"model", "is required"}
	case len(*b.Model) > MaxNameBytes:
		return &FieldError{"model", fmt.Sprintf("is longer than %d bytes", MaxNameBytes)}
	}
	model, adapter, found := strings.Cut(*b.Model, ":")
	if model == "" || found && adapter == "" {
		return &FieldError{"model", `must be "model" or "model:adapter"`}
	}
	r.Model, r.Adapter = model, adapter
	return nil
}

func (b *body) stream(r *Request) error {
	r.Stream = b.Stream != nil && *b.Stream
	if b.StreamOptions == nil {
		return nil
	}
	if !r.Stream {
		return &FieldError{"stream_options", "is allowed only when stream is true"}
	}
	r.IncludeUsage = b.StreamOptions.IncludeUsage != nil && *b.StreamOptions.IncludeUsage
	return nil
}

func (b *body) length(r *Request) error {
	for _, f := range []struct {
		name  string
		value *int
	}{{"max_tokens", b.MaxTokens}, {"max_completion_tokens", b.MaxCompletionTokens}} {
		if f.value == nil {
			continue
		}
		if *f.value < 1 || *f.value > MaxTokens {
			return &FieldError{f.name, fmt.Sprintf("must lie between 1 and %d", MaxTokens)}
		}
		r.MaxTokens = *f.value
	}
	return nil
}

func (b *body) numbers(r *Request) error {
	if b.Temperature != nil && (*b.Temperature < 0 || *b.Temperature > maxTemperature) {
		return &FieldError{"temperature", "must lie between 0 and 2"}
	}
	// Several choices would share one stream, whose token positions then mean nothing.
	if b.N != nil && *b.N != 1 {
		return &FieldError{"n", "must be 1"}
	}
	if b.User != nil {
		r.User = *b.User
	}
	return nil
}

func (b *body) text(e Endpoint) (string, error) {
	if e == Completions {
		return b.promptText()
	}
	return b.messageText()
}

func (b *body) promptText() (string, error) {
	if b.Messages != nil {
		return "", &FieldError{"messages", "belongs to chat completions"}
	}
	if isNull(b.Prompt) {
		return "", &FieldError{"prompt", "is required"}
	}
	var s string
	if json.Unmarshal(b.Prompt, &s) == nil {
		return s, nil
	}
	return "", &FieldError{"prompt", "must be a string"}
}

func (b *body) messageText() (string, error) {
	if !isNull(b.Prompt) {
		return "", &FieldError{"prompt", "belongs to completions"}
	}
	if len(b.Messages) == 0 {
		return "", &FieldError{"messages", "must hold at least one message"}
	}
	if len(b.Messages) > MaxMessages {
		return "", &FieldError{"messages", fmt.Sprintf("must hold at most %d messages", MaxMessages)}
	}
	var text strings.Builder
	for i, m := range b.Messages {
		if m.Role == nil || *m.Role == "" {
			return "", &FieldError{fmt.Sprintf("messages[%d].role", i), "is required"}
		}
		s, ok := contentText(m.Content)
		if !ok {
			return "", &FieldError{fmt.Sprintf("messages[%d].content", i), "must be a string or a list of parts"}
		}
		text.WriteString(*m.Role)
		text.WriteByte('\n')
		text.WriteString(s)
		text.WriteByte('\n')
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
