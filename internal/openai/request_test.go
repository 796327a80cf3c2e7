package openai

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestDecode_Completion(t *testing.T) {
	is := is.New(t)
	r, err := Decode(Completions, []byte(`{"model":"slips:wedding","prompt":"abcdefgh","max_tokens":16,
		"stream":true,"stream_options":{"include_usage":true},"temperature":0.5,"user":"u7","top_p":0.9}`))
	is.NoErr(err)
	is.Equal(*r, Request{Model: "slips", Adapter: "wedding", Stream: true, IncludeUsage: true,
		MaxTokens: 16, PromptTokens: 3, User: "u7", Prompt: "abcdefgh"})
}

func TestDecode_ChatWithPartsAndToolCalls(t *testing.T) {
	is := is.New(t)
	r, err := Decode(ChatCompletions, []byte(`{"model":"m","max_completion_tokens":4,"messages":[
		{"role":"system","content":"be kind"},
		{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]},
		{"role":"assistant","content":null,"tool_calls":[]}]}`))
	is.NoErr(err)
	is.Equal(r.MaxTokens, 4)
	is.Equal(r.Prompt, "system: be kind\nuser: ab\nassistant: \n")
}

func TestDecode_InvalidCompletionFields(t *testing.T) {
	for body, field := range map[string]string{
		`{}`:                          "model",
		`{"model":""}`:                "model",
		`{"model":7,"prompt":"x"}`:    "model",
		`{"model":"m:","prompt":"x"}`: "model",
		`{"model":":a","prompt":"x"}`: "model",
		`{"model":"` + strings.Repeat("m", 257) + `","prompt":"x"}`: "model",
		`{"model":"m"}`:                                         "prompt",
		`{"model":"m","prompt":7}`:                              "prompt",
		`{"model":"m","prompt":null}`:                           "prompt",
		`{"model":"m","prompt":"x","messages":[]}`:              "messages",
		`{"model":"m","prompt":"x","max_tokens":0}`:             "max_tokens",
		`{"model":"m","prompt":"x","max_tokens":"9"}`:           "max_tokens",
		`{"model":"m","prompt":"x","max_completion_tokens":-1}`: "max_completion_tokens",
		`{"model":"m","prompt":"x","temperature":3}`:            "temperature",
		`{"model":"m","prompt":"x","n":2}`:                      "n",
		`{"model":"m","prompt":"x","stream_options":{}}`:        "stream_options",
		`[]`:    "",
		`{"mod`: "",
		`{} {}`: "",
		``:      "",
	} {
		_, err := Decode(Completions, []byte(body))
		var f *FieldError
		is := is.New(t)
		is.True(errors.As(err, &f))
		is.Equal(f.Field, field)
		is.True(f.Error() != "")
	}
}

func TestDecode_InvalidChatFields(t *testing.T) {
	for body, field := range map[string]string{
		`{"model":"m"}`:               "messages",
		`{"model":"m","messages":[]}`: "messages",
		`{"model":"m","prompt":"x","messages":[{"role":"user"}]}`:              "prompt",
		`{"model":"m","messages":[{"content":"x"}]}`:                           "messages[0].role",
		`{"model":"m","messages":[{"role":"user","content":7}]}`:               "messages[0].content",
		`{"model":"m","messages":[{"role":"user"},{"role":"a","content":{}}]}`: "messages[1].content",
	} {
		_, err := Decode(ChatCompletions, []byte(body))
		var f *FieldError
		is := is.New(t)
		is.True(errors.As(err, &f))
		is.Equal(f.Field, field)
	}
}

// FuzzDecode checks that Decode does not panic, that every error is a *FieldError and that
// accepted requests are within the documented bounds.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"x"}`,
		`{"model":"m:a","messages":[{"role":"user","content":"x"}],"stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`,
		`{"model":"m","prompt":["a"],"max_tokens":1e3}`,
		`{"model":"m","prompt":"x","max_tokens":99999999999999999999}`,
		`{"model":"\u0000","prompt":"\ud800","n":null}`,
		`{"model":"m","prompt":"x","stream":null,"stream_options":null}`,
		"", "null", "0", `"x"`, `[[[[[[`, `{"model":`, "{\"model\":\"m\"}\n{}", "\xff\xfe",
	} {
		f.Add(uint8(0), []byte(seed))
		f.Add(uint8(1), []byte(seed))
	}
	f.Fuzz(func(t *testing.T, endpoint uint8, body []byte) {
		r, err := Decode(Endpoint(endpoint%2), body)
		var fe *FieldError
		if err != nil {
			if !errors.As(err, &fe) {
				t.Fatalf("not a field error: %v", err)
			}
			return
		}
		if !json.Valid(body) {
			t.Fatal("accepted a body that is not JSON")
		}
		if r.Model == "" || len(r.Model)+len(r.Adapter) > MaxNameBytes || strings.Contains(r.Model, ":") {
			t.Fatalf("accepted model %q adapter %q", r.Model, r.Adapter)
		}
		if r.MaxTokens < 0 || r.MaxTokens > MaxTokens || r.PromptTokens < 1 || r.IncludeUsage && !r.Stream {
			t.Fatalf("accepted %+v", r)
		}
	})
}
