// Package workload sends callers' requests to entries and verifies every answer against the
// expected text of the emulated engines, so that an incomplete, mixed or misdirected answer is
// detected from the answer itself.
package workload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"pinevane.example/pinevane/internal/emulator"
	"pinevane.example/pinevane/internal/entry"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/weights"
)

// Kind is a kind of request.
type Kind string

// The kinds of requests.
const (
	KindStream Kind = "stream"
	KindUnary  Kind = "whole"
	KindCall   Kind = "call"
)

// Request is a caller's request.
type Request struct {
	Kind Kind
	// Key is the tenant's API key.
	Key string
	// Model and Adapter select the model of a generation.
	Model   string
	Adapter string
	Prompt  string
	// MaximumTokens limits the length of a generation.
	MaximumTokens int
	// Service, Path and Body describe a call of a plain service.
	Service string
	Path    string
	Body    string
	// IdempotencyKey is sent as Idempotency-Key if set.
	IdempotencyKey string
	// NotRepeatable marks a request that may be executed at most once.
	NotRepeatable bool
	// Deadline is sent if not zero.
	Deadline time.Duration
}

// Result is the outcome of a request as the caller sees it.
type Result struct {
	Request   Request
	ID        string
	Status    int
	Answered  bool
	Execution fault.Execution
	Reason    fault.Reason
	Version   string
	// Fault describes why the answer is wrong; empty if it is correct.
	Fault      string
	Started    time.Time
	FirstToken time.Duration
	// Gaps are the times between consecutive tokens of a stream.
	Gaps     []time.Duration
	Duration time.Duration
}

// Identities maps models and versions to the identities of their weights. It is safe for
// concurrent use.
type Identities struct {
	mutex   sync.RWMutex
	digests map[string]weights.Digest
}

// NewIdentities returns an empty set.
func NewIdentities() *Identities { return &Identities{digests: map[string]weights.Digest{}} }

// Add adds the weights of a version.
func (i *Identities) Add(manifest *weights.Manifest) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.digests[manifest.Model+"@"+manifest.Version] = manifest.Identity()
}

func (i *Identities) get(model, version string) (weights.Digest, bool) {
	i.mutex.RLock()
	defer i.mutex.RUnlock()
	identity, known := i.digests[model+"@"+version]
	return identity, known
}

// Client sends requests and verifies the answers.
type Client struct {
	http       *http.Client
	identities *Identities
}

// NewClient returns a client that verifies answers of the versions in identities.
func NewClient(identities *Identities) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, MaxIdleConns: 4096}
	return &Client{http: &http.Client{Transport: transport}, identities: identities}
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	MaximumTokens int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
}

type chatAnswer struct {
	Version string `json:"system_fingerprint"`
	Choices []struct {
		Message      *chatMessage `json:"message"`
		Delta        *chatMessage `json:"delta"`
		FinishReason string       `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Code    fault.Reason `json:"code"`
		Message string       `json:"message"`
	} `json:"error"`
	Execution fault.Execution `json:"execution"`
}

// Do sends a request to an entry and verifies the answer.
func (c *Client) Do(ctx context.Context, address string, request Request) Result {
	result := Result{Request: request, Started: time.Now()}
	outgoing, err := c.buildRequest(ctx, address, request)
	if err != nil {
		result.Fault = err.Error()
		return result
	}
	response, err := c.http.Do(outgoing)
	if err != nil {
		result.Execution, result.Reason = fault.ExecutionUnknown, "no-answer"
		result.Duration = time.Since(result.Started)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.ID = response.Header.Get(entry.HeaderRequestID)
	result.Status = response.StatusCode
	switch {
	case response.StatusCode != http.StatusOK:
		c.readRefusal(response, &result)
	case request.Kind == KindStream:
		c.readStream(response, &result)
	case request.Kind == KindUnary:
		c.readUnary(response, &result)
	default:
		c.readCall(response, &result)
	}
	result.Duration = time.Since(result.Started)
	return result
}

// CallDirectly calls a plain service at its own address, bypassing entries and agents.
func (c *Client) CallDirectly(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/items", strings.NewReader("direct"))
	if err != nil {
		return &fault.Unavailable{Target: address, Operation: "build", Cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &fault.Unavailable{Target: address, Operation: "call", Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return &fault.Unavailable{Target: address, Operation: "read", Cause: err}
	}
	return nil
}

func (c *Client) buildRequest(ctx context.Context, address string, request Request) (*http.Request, error) {
	path, body := "/apps/"+request.Service+request.Path, []byte(request.Body)
	if request.Kind != KindCall {
		path = "/v1/chat/completions"
		model := request.Model
		if request.Adapter != "" {
			model += ":" + request.Adapter
		}
		encoded, err := json.Marshal(chatBody{
			Model: model, MaximumTokens: request.MaximumTokens, Stream: request.Kind == KindStream,
			Messages: []chatMessage{{Role: "user", Content: request.Prompt}},
		})
		if err != nil {
			return nil, &fault.InvalidFrame{Field: "body", Reason: err.Error()}
		}
		body = encoded
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, &fault.Unavailable{Target: address, Operation: "build", Cause: err}
	}
	outgoing.GetBody = nil
	outgoing.Header.Set("Authorization", "Bearer "+request.Key)
	outgoing.Header.Set("Content-Type", "application/json")
	if request.IdempotencyKey != "" {
		outgoing.Header.Set(entry.HeaderIdempotencyKey, request.IdempotencyKey)
	}
	if request.NotRepeatable {
		outgoing.Header.Set(entry.HeaderRepeatable, "false")
	}
	if request.Deadline > 0 {
		outgoing.Header.Set(entry.HeaderDeadline, fmt.Sprint(request.Deadline.Milliseconds()))
	}
	return outgoing, nil
}

func (c *Client) readRefusal(response *http.Response, result *Result) {
	var body chatAnswer
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Error == nil {
		result.Fault = fmt.Sprintf("status %d without a machine-readable refusal", response.StatusCode)
		return
	}
	result.Execution, result.Reason = body.Execution, body.Error.Code
}

// expected returns the correct answer to a generation.
func (c *Client) expected(request Request, version string) (string, bool) {
	identity, known := c.identities.get(request.Model, version)
	prompt := "user: " + request.Prompt + "\n"
	return emulator.Answer(identity, request.Adapter, prompt, request.MaximumTokens), known
}

func (c *Client) checkText(result *Result, text, version string) {
	result.Version = version
	expectedText, known := c.expected(result.Request, version)
	switch {
	case !known:
		result.Fault = "answer reports the unknown version " + version
	case text != expectedText:
		result.Fault = fmt.Sprintf("answer differs from version %s's (%d bytes, expected %d)", version, len(text), len(expectedText))
	default:
		result.Answered = true
	}
}

func (c *Client) readUnary(response *http.Response, result *Result) {
	var body chatAnswer
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		result.Execution, result.Reason = fault.ExecutionUnknown, "cut-answer"
		return
	}
	if len(body.Choices) != 1 || body.Choices[0].Message == nil || body.Choices[0].FinishReason == "" {
		result.Fault = "answer has no finished choice"
		return
	}
	c.checkText(result, body.Choices[0].Message.Content, body.Version)
}

// readStream accepts a stream as complete only after its end marker.
func (c *Client) readStream(response *http.Response, result *Result) {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4<<10), 1<<20)
	var text strings.Builder
	version := ""
	last := result.Started
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			c.checkText(result, text.String(), version)
			return
		}
		var event chatAnswer
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			result.Fault = "event is not JSON"
			return
		}
		if event.Error != nil {
			result.Execution, result.Reason = event.Execution, event.Error.Code
			return
		}
		if version != "" && event.Version != version {
			result.Fault = "stream changed from version " + version + " to " + event.Version
			return
		}
		version = event.Version
		if len(event.Choices) == 1 && event.Choices[0].Delta != nil && event.Choices[0].Delta.Content != "" {
			now := time.Now()
			if text.Len() == 0 {
				result.FirstToken = now.Sub(result.Started)
			} else {
				result.Gaps = append(result.Gaps, now.Sub(last))
			}
			last = now
			text.WriteString(event.Choices[0].Delta.Content)
		}
	}
	result.Execution, result.Reason = fault.ExecutionUnknown, "cut-answer"
}

func (c *Client) readCall(response *http.Response, result *Result) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		result.Execution, result.Reason = fault.ExecutionUnknown, "cut-answer"
		return
	}
	var echo emulator.ServiceEcho
	if err := json.Unmarshal(data, &echo); err != nil {
		result.Fault = "answer is not from the service"
		return
	}
	mismatch := echo.Service != result.Request.Service || echo.Body != result.Request.Body
	if mismatch || result.Request.IdempotencyKey == "" && echo.ID != result.ID {
		result.Fault = "answer belongs to another request"
		return
	}
	result.Answered = true
}

// Recorder collects results. It is safe for concurrent use.
type Recorder struct {
	mutex   sync.Mutex
	results []Result
}

// Add stores a result.
func (r *Recorder) Add(result Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.results = append(r.results, result)
}

// Results returns what was collected so far.
func (r *Recorder) Results() []Result {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Result(nil), r.results...)
}

// Summary aggregates results.
type Summary struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// NotRun and Unknown count refused requests by execution status.
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Wrong counts answers that belong to another request, mix versions, or are incomplete.
	Wrong    int                  `json:"wrong"`
	Versions map[string]int       `json:"answers_by_version"`
	Reasons  map[fault.Reason]int `json:"refusals_by_reason"`
	Faults   []string             `json:"faults,omitempty"`
}

// maxFaults is the maximum number of listed faults.
const maxFaults = 10

// Summarize aggregates results.
func Summarize(results []Result) Summary {
	summary := Summary{Requests: len(results), Versions: map[string]int{}, Reasons: map[fault.Reason]int{}}
	for _, result := range results {
		switch {
		case result.Fault != "":
			summary.Wrong++
			if len(summary.Faults) < maxFaults {
				summary.Faults = append(summary.Faults, result.ID+": "+result.Fault)
			}
		case result.Answered:
			summary.Answered++
			if result.Version != "" {
				summary.Versions[result.Version]++
			}
		case result.Execution == fault.ExecutionNotRun:
			summary.NotRun++
			summary.Reasons[result.Reason]++
		default:
			summary.Unknown++
			summary.Reasons[result.Reason]++
		}
	}
	return summary
}
