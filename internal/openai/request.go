// Package openai decodes requests of the OpenAI HTTP API for completions and chat
// completions. It checks the fields that the entry needs; all others are left to the
// upstream, which receives the body unchanged.
package openai

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Bounds of request fields, and the estimated length of a token.
const (
	MaxNameBytes   = 256     // of a model name with its adapter
	MaxTokens      = 1 << 20 // of max_tokens
	MaxMessages    = 4096
	maxTemperature = 2.0
	bytesPerToken  = 4 // rough estimate, for Request.PromptTokens
)

// Endpoint is one of the two generation endpoints.
type Endpoint int

// The generation endpoints.
const (
	Completions Endpoint = iota
	ChatCompletions
)

// Request is a decoded generation request.
type Request struct {
	Model        string
	Adapter      string // empty: the model without an adapter
	Stream       bool
	IncludeUsage bool
	MaxTokens    int    // requested maximum number of generated tokens; 0: not set
	PromptTokens int    // estimated
	User         string // the "user" field, opaque to this system
	// Prompt is the text of the prompt, or of all messages as lines "role: content".
	// Content parts that are not text are left out.
	Prompt string
}

// FieldError reports an invalid field of the request body.
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

// body holds the top-level fields by name. Decoding into a struct would ignore the case of
// names, and the entry could check a different field than the upstream reads.
type body map[string]json.RawMessage

type message struct {
	Role    *string         `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Decode decodes and checks a request body. Its errors are of type *FieldError.
func Decode(e Endpoint, data []byte) (*Request, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, &FieldError{"", "the body is not a JSON object: " + err.Error()}
	}
	r := &Request{}
	for _, step := range []func(*Request) error{b.decodeModel, b.decodeStream, b.decodeMaxTokens, b.decodeSampling} {
		if err := step(r); err != nil {
			return nil, err
		}
	}
	text, err := b.decodeText(e)
	if err != nil {
		return nil, err
	}
	r.Prompt = text
	r.PromptTokens = len(text)/bytesPerToken + 1
	return r, nil
}

// decodeField decodes one field of a body. found is false if it is absent or null. The error
// of a wrong type is a *FieldError.
func decodeField[T any](b body, name string) (v T, found bool, err error) {
	if isNull(b[name]) {
		return v, false, nil
	}
	if err := json.Unmarshal(b[name], &v); err != nil {
		return v, false, &FieldError{name, fmt.Sprintf("must be a %s", jsonTypeName(v))}
	}
	return v, true, nil
}

// jsonTypeName returns the name of a field's type for error messages.
func jsonTypeName(v any) string {
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

// decodeModel sets Model and Adapter from a name "model" or "model:adapter".
func (b body) decodeModel(r *Request) error {
	name, _, err := decodeField[string](b, "model")
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

// decodeStream sets Stream and IncludeUsage.
func (b body) decodeStream(r *Request) (err error) {
	if r.Stream, _, err = decodeField[bool](b, "stream"); err != nil {
		return err
	}
	options, found, err := decodeField[body](b, "stream_options")
	if err != nil || !found {
		return err
	}
	if !r.Stream {
		return &FieldError{"stream_options", "is allowed only when stream is true"}
	}
	r.IncludeUsage, _, err = decodeField[bool](options, "include_usage")
	return err
}

// decodeMaxTokens sets MaxTokens. max_completion_tokens is the newer name of max_tokens and
// has precedence.
func (b body) decodeMaxTokens(r *Request) error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		n, found, err := decodeField[int](b, name)
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

// decodeSampling checks temperature and n, and sets User.
func (b body) decodeSampling(r *Request) error {
	t, _, err := decodeField[float64](b, "temperature")
	if err != nil {
		return err
	}
	if t < 0 || t > maxTemperature {
		return &FieldError{"temperature", "must lie between 0 and 2"}
	}
	// Several choices would share one stream, which would make its token indexes ambiguous.
	n, found, err := decodeField[int](b, "n")
	if err != nil {
		return err
	}
	if found && n != 1 {
		return &FieldError{"n", "must be 1"}
	}
	r.User, _, err = decodeField[string](b, "user")
	return err
}

// decodeText returns the text of the prompt or of the messages, depending on the endpoint.
func (b body) decodeText(e Endpoint) (string, error) {
	if e == Completions {
		return b.decodePrompt()
	}
	return b.decodeMessages()
}

// decodePrompt returns the prompt of a completion.
func (b body) decodePrompt() (string, error) {
	if !isNull(b["messages"]) {
		return "", &FieldError{"messages", "belongs to chat completions"}
	}
	s, found, err := decodeField[string](b, "prompt")
	if err == nil && !found {
		err = &FieldError{"prompt", "is required"}
	}
	return s, err
}

// decodeMessages returns the text of all messages of a chat completion as lines
// "role: content".
func (b body) decodeMessages() (string, error) {
	if !isNull(b["prompt"]) {
		return "", &FieldError{"prompt", "belongs to completions"}
	}
	messages, _, err := decodeField[[]message](b, "messages")
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
		s, ok := decodeContent(m.Content)
		if !ok {
			return "", &FieldError{fmt.Sprintf("messages[%d].content", i), "must be a string or a list of parts"}
		}
		fmt.Fprintf(&text, "%s: %s\n", *m.Role, s)
	}
	return text.String(), nil
}

// decodeContent returns the text of a message's content, which is a string, a list of parts
// or, in tool calls, null. It returns false for any other content.
func decodeContent(raw json.RawMessage) (string, bool) {
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
