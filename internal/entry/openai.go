package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
)

// Defaults and limits of a generation request.
const (
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 20
	maxMessages      = 1024
)

// chatMessage is one message of a conversation.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is the body of a request to either OpenAI endpoint. Fields that engines do not
// support are ignored, since clients send many.
type completionRequest struct {
	// Model is a model's name, followed by ":adapter" to select an adapter.
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Prompt              string        `json:"prompt"`
	MaximumTokens       *int          `json:"max_tokens"`
	MaximumOutputTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
}

// generationRequest is a validated request to a model.
type generationRequest struct {
	model     string
	adapter   string
	prompt    string
	maxTokens int
	stream    bool
	chat      bool
}

func (e *Entry) chatCompletions(ctx context.Context, writer http.ResponseWriter, request *http.Request, c *call) *fault.Refusal {
	return e.completion(ctx, writer, request, c, true)
}

func (e *Entry) completions(ctx context.Context, writer http.ResponseWriter, request *http.Request, c *call) *fault.Refusal {
	return e.completion(ctx, writer, request, c, false)
}

func (e *Entry) completion(ctx context.Context, writer http.ResponseWriter, request *http.Request, c *call, chat bool) *fault.Refusal {
	body, refusal := e.readBody(writer, request)
	if refusal != nil {
		return refusal
	}
	parsedRequest, refusal := parseCompletion(body, chat)
	if refusal != nil {
		return refusal
	}
	if refusal := checkModel(c, parsedRequest); refusal != nil {
		return refusal
	}
	release, refusal := e.limits.admit(c.tenant.Name, parsedRequest.maxTokens)
	if refusal != nil {
		return refusal
	}
	defer release()
	if parsedRequest.stream {
		out := &streamingAnswer{writer: writer, call: c, request: parsedRequest, created: time.Now().Unix()}
		refusal := e.generate(ctx, c, parsedRequest, out)
		return out.close(refusal)
	}
	out := &completeAnswer{}
	if refusal := e.generate(ctx, c, parsedRequest, out); refusal != nil {
		return refusal
	}
	out.write(writer, c, parsedRequest)
	return nil
}

func parseCompletion(body []byte, chat bool) (generationRequest, *fault.Refusal) {
	var parsed completionRequest
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&parsed); err != nil {
		return generationRequest{}, badRequest("body", "is not valid JSON: "+err.Error())
	}
	model, adapter, _ := strings.Cut(parsed.Model, ":")
	parsedRequest := generationRequest{model: model, adapter: adapter, prompt: parsed.Prompt, stream: parsed.Stream, chat: chat, maxTokens: defaultMaxTokens}
	if model == "" {
		return parsedRequest, badRequest("model", "must be set")
	}
	for _, given := range []*int{parsed.MaximumTokens, parsed.MaximumOutputTokens} {
		if given == nil {
			continue
		}
		if *given < 1 || *given > maxTokensLimit {
			return parsedRequest, badRequest("max_tokens", "must be 1 to 1048576 tokens")
		}
		parsedRequest.maxTokens = *given
	}
	if chat {
		if len(parsed.Messages) == 0 || len(parsed.Messages) > maxMessages {
			return parsedRequest, badRequest("messages", "must have 1 to 1024 entries")
		}
		parsedRequest.prompt = PromptOf(parsed.Messages)
	}
	if parsedRequest.prompt == "" {
		return parsedRequest, badRequest("prompt", "must not be empty")
	}
	return parsedRequest, nil
}

// PromptOf renders a conversation as a prompt.
func PromptOf(messages []chatMessage) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}

func checkModel(c *call, parsedRequest generationRequest) *fault.Refusal {
	model, known := c.snapshot.Models[parsedRequest.model]
	if !known {
		return fault.NotRun(fault.ReasonUnknownModel, "no model is named "+parsedRequest.model)
	}
	if !slices.Contains(c.tenant.Models, parsedRequest.model) {
		return fault.NotRun(fault.ReasonForbidden, "the tenant may not use model "+parsedRequest.model)
	}
	for _, adapter := range model.Adapters {
		if adapter.Name == parsedRequest.adapter {
			return nil
		}
	}
	if parsedRequest.adapter != "" {
		return fault.NotRun(fault.ReasonUnknownModel, "model "+parsedRequest.model+" has no adapter "+parsedRequest.adapter)
	}
	return nil
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (e *Entry) models(_ context.Context, writer http.ResponseWriter, _ *http.Request, c *call) *fault.Refusal {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range slices.Sorted(maps.Keys(c.snapshot.Models)) {
		if !slices.Contains(c.tenant.Models, name) {
			continue
		}
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "pinevane"})
		for _, adapter := range c.snapshot.Models[name].Adapters {
			list.Data = append(list.Data, modelEntry{ID: name + ":" + adapter.Name, Object: "model", OwnedBy: "pinevane"})
		}
	}
	c.headerWritten = true
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(list)
	return nil
}

// answerWriter receives the tokens of a generation and writes the answer.
type answerWriter interface {
	token(text, version string) error
	finish(reason external.FinishReason, version string) error
	// reset discards the received tokens. It reports false if the caller has received some already.
	reset() bool
}

// usage is the number of an answer's tokens.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completionChoice struct {
	Index        int                   `json:"index"`
	Message      *chatMessage          `json:"message,omitempty"`
	Delta        *chatMessage          `json:"delta,omitempty"`
	Text         *string               `json:"text,omitempty"`
	FinishReason external.FinishReason `json:"finish_reason,omitempty"`
}

type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Version string             `json:"system_fingerprint,omitempty"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

func modelName(parsedRequest generationRequest) string {
	if parsedRequest.adapter == "" {
		return parsedRequest.model
	}
	return parsedRequest.model + ":" + parsedRequest.adapter
}

// completeAnswer buffers an answer that is sent at once.
type completeAnswer struct {
	text    strings.Builder
	tokens  int
	version string
	reason  external.FinishReason
}

func (a *completeAnswer) token(text, version string) error {
	a.text.WriteString(text)
	a.tokens++
	a.version = version
	return nil
}

func (a *completeAnswer) finish(reason external.FinishReason, version string) error {
	a.reason, a.version = reason, version
	return nil
}

func (a *completeAnswer) reset() bool {
	a.text.Reset()
	a.tokens = 0
	return true
}

func (a *completeAnswer) write(writer http.ResponseWriter, c *call, parsedRequest generationRequest) {
	text := a.text.String()
	result := completionAnswer{
		ID: c.id, Object: "text_completion", Created: c.arrivedAt.Unix(), Model: modelName(parsedRequest), Version: a.version,
		Choices: []completionChoice{{Text: &text, FinishReason: a.reason}},
		Usage:   &usage{CompletionTokens: a.tokens, TotalTokens: a.tokens},
	}
	if parsedRequest.chat {
		result.Object = "chat.completion"
		result.Choices = []completionChoice{{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: a.reason}}
	}
	c.headerWritten = true
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set(HeaderModelVersion, a.version)
	_ = json.NewEncoder(writer).Encode(result)
}

// streamWriteTimeout is the timeout for writing a token to a slow caller.
const streamWriteTimeout = 10 * time.Second

// streamingAnswer sends each token as a server-sent event.
type streamingAnswer struct {
	writer  http.ResponseWriter
	call    *call
	request generationRequest
	created int64
}

func (a *streamingAnswer) writeHeader(version string) {
	if a.call.streamStarted {
		return
	}
	a.call.streamStarted = true
	header := a.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(HeaderModelVersion, version)
	a.writer.WriteHeader(http.StatusOK)
}

func (a *streamingAnswer) chunk(version string, choice completionChoice) completionAnswer {
	object := "text_completion"
	if a.request.chat {
		object = "chat.completion.chunk"
	}
	return completionAnswer{
		ID: a.call.id, Object: object, Created: a.created, Model: modelName(a.request),
		Version: version, Choices: []completionChoice{choice},
	}
}

func (a *streamingAnswer) token(text, version string) error {
	a.writeHeader(version)
	choice := completionChoice{Text: &text}
	if a.request.chat {
		choice = completionChoice{Delta: &chatMessage{Role: "assistant", Content: text}}
	}
	return a.writeJSON(a.chunk(version, choice))
}

func (a *streamingAnswer) finish(reason external.FinishReason, version string) error {
	a.writeHeader(version)
	choice := completionChoice{FinishReason: reason}
	if a.request.chat {
		choice.Delta = &chatMessage{}
	}
	if err := a.writeJSON(a.chunk(version, choice)); err != nil {
		return err
	}
	return a.writeEvent([]byte("[DONE]"))
}

func (a *streamingAnswer) reset() bool { return !a.call.streamStarted }

func (a *streamingAnswer) writeJSON(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return &fault.InvalidFrame{Field: "event", Reason: err.Error()}
	}
	return a.writeEvent(data)
}

// writeEvent writes one event and flushes it, so that tokens are not buffered.
func (a *streamingAnswer) writeEvent(data []byte) error {
	controller := http.NewResponseController(a.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := a.writer.Write(line); err != nil {
		return &fault.Unavailable{Target: "caller", Operation: "write", Cause: err}
	}
	if err := controller.Flush(); err != nil {
		return &fault.Unavailable{Target: "caller", Operation: "flush", Cause: err}
	}
	return nil
}

// close ends a stream. If it failed after it had started, close sends an error event and no end
// marker, so that a truncated answer never looks complete. A refusal before the first token is
// written by the caller as an ordinary error.
func (a *streamingAnswer) close(refusal *fault.Refusal) *fault.Refusal {
	if a.call.streamStarted {
		defer func() { _ = http.NewResponseController(a.writer).SetWriteDeadline(time.Time{}) }()
	}
	if refusal != nil && a.call.streamStarted {
		_ = a.writeJSON(newErrorBody(a.call.id, refusal))
	}
	return refusal
}
