package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gentiankeel/internal/pause"
	"gentiankeel/internal/upstream"
)

const defaultMaxTokens = 16

// completionRequest holds the fields of an OpenAI-like request that the stand-in reads.
// Adapter is an extension, equivalent to "model:adapter" as the model name.
type completionRequest struct {
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter"`
	Prompt    string    `json:"prompt"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one alternative of an answer or chunk; the stand-in sends exactly one.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Chunk is the body of a complete answer, or one event of a stream.
type Chunk struct {
	ID                string   `json:"id"`
	Object            string   `json:"object"`
	Model             string   `json:"model"`
	SystemFingerprint string   `json:"system_fingerprint"` // model version
	IndexToken        *int     `json:"index_token,omitempty"`
	Choices           []Choice `json:"choices"`
	Usage             *Usage   `json:"usage,omitempty"`
}

// generation is one generation request in progress.
type generation struct {
	completionRequest
	chat       bool // chat completion, not a text completion
	attempt    string
	prompt     string // messages of a chat joined
	version    string // model version
	resumeFrom int    // position of the first token to send
}

func parseGeneration(r *http.Request) (*generation, error) {
	g := &generation{
		chat:    r.URL.Path == upstream.PathChatCompletions,
		attempt: r.Header.Get(upstream.HeaderAttempt),
	}
	if err := json.NewDecoder(r.Body).Decode(&g.completionRequest); err != nil {
		return nil, err
	}
	if model, adapter, ok := strings.Cut(g.Model, ":"); ok {
		g.Model, g.Adapter = model, adapter
	}
	if g.MaxTokens <= 0 {
		g.MaxTokens = defaultMaxTokens
	}
	g.prompt = g.Prompt
	if g.chat {
		g.prompt = ChatPrompt(g.Messages)
	}
	if s := r.Header.Get(upstream.HeaderResume); s != "" {
		from, err := strconv.Atoi(s)
		if err != nil || from < 0 {
			return nil, fmt.Errorf("bad %s header %q", upstream.HeaderResume, s)
		}
		g.resumeFrom = min(from, g.MaxTokens)
	}
	return g, nil
}

// ChatPrompt returns the messages of a chat as one prompt, a line "role: content" each.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	return b.String()
}

func (s *Server) handleGenerate(w http.ResponseWriter, r *http.Request) {
	g, err := parseGeneration(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := s.refusalReason(r); reason != "" {
		s.refuse(w, g.attempt, reason)
		return
	}
	ctx, done := s.attempts.start(r.Context(), g.attempt)
	defer done()
	if err := s.slots.acquire(ctx, priority(r.Header.Get(upstream.HeaderPriority))); err != nil {
		s.refuse(w, g.attempt, err.Error())
		return
	}
	defer s.slots.release()
	end, version, reason := s.accelerator.beginRequest(g.Model, g.Adapter)
	if end == nil {
		s.refuse(w, g.attempt, reason)
		return
	}
	defer end()
	g.version = version
	if strings.Contains(g.prompt, s.opts.CrashMarker) {
		s.crashOnRequest()
		panic(http.ErrAbortHandler)
	}
	s.generate(ctx, w, g)
}

// generate sends the answer of a request that holds a slot and a loaded model.
func (s *Server) generate(ctx context.Context, w http.ResponseWriter, g *generation) {
	w.Header().Set(upstream.HeaderAttempt, s.faults.answerAttemptID(g.attempt))
	prefill := s.opts.Latency.FirstToken
	if s.cache.lookupOrInsert(upstream.PrefixKey(g.Model, g.prompt)) {
		prefill = s.opts.Latency.CachedToken
	}
	if pause.For(ctx, s.scaleDelay(prefill)) != nil {
		s.abort()
		return
	}
	var err error
	if g.Stream {
		err = s.sendStream(ctx, w, g)
	} else {
		err = s.sendJSON(ctx, w, g)
	}
	if err != nil {
		s.abort()
		return
	}
	s.accelerator.updateStats(func(t *Stats) { t.Served++ })
}

// abort cuts the connection, so that the client sees that the answer is incomplete.
func (s *Server) abort() {
	s.accelerator.updateStats(func(t *Stats) { t.Cancelled++ })
	panic(http.ErrAbortHandler)
}

// sendStream sends the answer as server-sent events, one per token.
func (s *Server) sendStream(ctx context.Context, w http.ResponseWriter, g *generation) error {
	w.Header().Set("Content-Type", "text/event-stream")
	cut := s.faults.consumeStreamCut()
	for i := g.resumeFrom; i < g.MaxTokens; i++ {
		if cut && i > g.resumeFrom && i >= (g.resumeFrom+g.MaxTokens)/2 {
			panic(http.ErrAbortHandler)
		}
		if err := sendEvent(w, g.tokenChunk(i)); err != nil {
			return err
		}
		if err := pause.For(ctx, s.tokenGap()); err != nil {
			return err
		}
	}
	if err := sendEvent(w, g.finalChunk()); err != nil {
		return err
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	return err
}

// sendJSON sends the answer as one JSON document.
func (s *Server) sendJSON(ctx context.Context, w http.ResponseWriter, g *generation) error {
	for range g.MaxTokens - g.resumeFrom {
		if err := pause.For(ctx, s.tokenGap()); err != nil {
			return err
		}
	}
	var text strings.Builder
	for i := g.resumeFrom; i < g.MaxTokens; i++ {
		text.WriteString(g.token(i))
	}
	c := g.finalChunk()
	if g.chat {
		c.Object = "chat.completion"
		c.Choices[0].Delta = nil
		c.Choices[0].Message = &Message{Role: "assistant", Content: text.String()}
	} else {
		c.Choices[0].Text = text.String()
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(c)
}

func (g *generation) token(i int) string { return Token(g.Model, g.Adapter, g.prompt, i) }

func (g *generation) tokenChunk(i int) Chunk {
	c := Chunk{
		ID: "cmpl-" + g.attempt, Object: "text_completion", Model: g.Model,
		SystemFingerprint: g.version, IndexToken: &i,
		Choices: []Choice{{}},
	}
	if g.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Delta = &Message{Role: "assistant", Content: g.token(i)}
	} else {
		c.Choices[0].Text = g.token(i)
	}
	return c
}

// finalChunk returns the chunk that holds the finish reason and the token usage.
func (g *generation) finalChunk() Chunk {
	reason := "length"
	prompt := len(strings.Fields(g.prompt))
	c := Chunk{
		ID: "cmpl-" + g.attempt, Object: "text_completion", Model: g.Model,
		SystemFingerprint: g.version,
		Choices:           []Choice{{FinishReason: &reason}},
		Usage:             &Usage{PromptTokens: prompt, CompletionTokens: g.MaxTokens, TotalTokens: prompt + g.MaxTokens},
	}
	if g.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Delta = &Message{}
	}
	return c
}

func sendEvent(w http.ResponseWriter, c Chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// tokenGap returns the time between two tokens. It grows with the number of running
// requests, as with continuous batching.
func (s *Server) tokenGap() time.Duration {
	running, _ := s.slots.counts()
	l := s.opts.Latency
	return s.scaleDelay(l.TokenGap + time.Duration(max(0, running-1))*l.GapPerRunning)
}

// priority maps a value of the priority header to a number; lower numbers run first.
func priority(name string) int {
	switch name {
	case "interactive":
		return 0
	case "batch":
		return 2
	default:
		return 1
	}
}
